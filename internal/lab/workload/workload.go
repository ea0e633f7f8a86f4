// Package workload plans the requests of an experiment: chats that return
// after pauses with shared prefixes, and orders among them. A seed fixes
// every request and its time.
package workload

import (
	"cmp"
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"time"

	"github.com/zinniafork/zinniafork/internal/fleet"
	"github.com/zinniafork/zinniafork/internal/lab/history"
	"github.com/zinniafork/zinniafork/internal/lab/site"
	"github.com/zinniafork/zinniafork/internal/standin/engined"
)

// Arrival is one planned request.
type Arrival struct {
	ID      string
	At      time.Duration
	Kind    history.Kind
	Account site.Account
	// Chat requests.
	Chat   string
	Prompt engined.ChatRequest
	// Orders. Key is the idempotency key; empty takes a new one.
	Order string
	Key   string
	// Direct requests go to an engine outside the fleet.
	Direct bool
}

// Surge multiplies the load of an account for a while.
type Surge struct {
	Account  fleet.Account
	From, To time.Duration
	Factor   float64
}

// Options shape a plan.
type Options struct {
	Shape    site.Shape
	Seed     uint64
	Duration time.Duration
	Surges   []Surge
	// DirectRate is the number of direct requests a second.
	DirectRate float64
}

// Shape of a chat.
const (
	systemTokens  = 200
	userTokensMin = 20
	userTokensMax = 60
	maxTurns      = 12
	meanPause     = 4 * time.Second
	minPause      = 500 * time.Millisecond
	// answerTime stands for the time that an answer takes when the next turn
	// is planned.
	answerTime = 1500 * time.Millisecond
	// systemPrompts is the number of different prompt prefixes of an account.
	systemPrompts = 2
	bytesPerToken = 4
)

// answerTokens are the lengths of answers: label checks, blurbs, long copy.
var answerTokens = []int{8, 32, 48, 96}

// Plan returns the arrivals in order of time.
func Plan(opt Options) []Arrival {
	p := &planner{opt: opt, waiting: make(map[fleet.Account][]*chat)}
	p.chats()
	p.orders()
	p.direct()
	slices.SortStableFunc(p.out, func(a, b Arrival) int { return cmp.Compare(a.At, b.At) })
	for i := range p.out {
		p.out[i].ID = fmt.Sprintf("r%d", i+1)
		p.out[i].Prompt.User = p.out[i].ID
	}
	return p.out
}

type planner struct {
	opt     Options
	out     []Arrival
	waiting map[fleet.Account][]*chat
	started int
}

// chat is one conversation that returns from time to time.
type chat struct {
	id       string
	messages []engined.Message
	turns    int
	due      time.Duration
}

func (p *planner) rng(stream uint64) *rand.Rand {
	return rand.New(rand.NewPCG(p.opt.Seed, stream)) //nolint:gosec // a load needs no secret randomness
}

// Streams of random numbers.
const (
	streamChats uint64 = iota + 1
	streamOrders
	streamDirect
	streamSurge
)

// arrivals calls f at the times of a Poisson process.
func (p *planner) arrivals(rng *rand.Rand, rate float64, from, to time.Duration, f func(at time.Duration)) {
	if rate <= 0 {
		return
	}
	at := from
	for {
		at += time.Duration(rng.ExpFloat64() / rate * float64(time.Second))
		if at >= to {
			return
		}
		f(at)
	}
}

func (p *planner) totalShare() float64 {
	total := 0.0
	for _, a := range p.opt.Shape.Accounts {
		total += a.Share
	}
	return total
}

func (p *planner) chats() {
	rng := p.rng(streamChats)
	for _, a := range p.opt.Shape.Accounts {
		rate := p.opt.Shape.ChatRate * a.Share / p.totalShare()
		p.arrivals(rng, rate, 0, p.opt.Duration, func(at time.Duration) { p.turn(rng, a, at) })
	}
	rng = p.rng(streamSurge)
	for _, s := range p.opt.Surges {
		a := p.account(s.Account)
		rate := p.opt.Shape.ChatRate * a.Share / p.totalShare() * (s.Factor - 1)
		p.arrivals(rng, rate, s.From, s.To, func(at time.Duration) { p.turn(rng, a, at) })
	}
}

func (p *planner) account(name fleet.Account) site.Account {
	i := slices.IndexFunc(p.opt.Shape.Accounts, func(a site.Account) bool { return a.Name == name })
	return p.opt.Shape.Accounts[max(i, 0)]
}

// turn plans the next turn of a chat that is due, or the first of a new one.
func (p *planner) turn(rng *rand.Rand, a site.Account, at time.Duration) {
	c := p.take(a.Name, at)
	if c == nil {
		c = p.newChat(rng, a)
	}
	c.messages = append(c.messages, engined.Message{
		Role:    "user",
		Content: words(rng, userTokensMin+rng.IntN(userTokensMax-userTokensMin)),
	})
	prompt := engined.ChatRequest{
		Model:     string(p.opt.Shape.Model),
		Stream:    true,
		Messages:  slices.Clone(c.messages),
		MaxTokens: answerTokens[rng.IntN(len(answerTokens))],
	}
	p.out = append(p.out, Arrival{At: at, Kind: history.KindChat, Account: a, Chat: c.id, Prompt: prompt})
	answer := engined.Answer(engined.Blocks(prompt.Model, prompt.Messages), prompt.MaxTokens)
	c.messages = append(c.messages, engined.Message{Role: "assistant", Content: answer})
	c.turns++
	pause := max(minPause, time.Duration(rng.ExpFloat64()*float64(meanPause)))
	c.due = at + answerTime + pause
	if c.turns < maxTurns {
		p.waiting[a.Name] = append(p.waiting[a.Name], c)
	}
}

// take returns the chat of the account that has been due for the longest.
func (p *planner) take(account fleet.Account, at time.Duration) *chat {
	waiting := p.waiting[account]
	best := -1
	for i, c := range waiting {
		if c.due <= at && (best < 0 || c.due < waiting[best].due) {
			best = i
		}
	}
	if best < 0 {
		return nil
	}
	c := waiting[best]
	p.waiting[account] = slices.Delete(waiting, best, best+1)
	return c
}

func (p *planner) newChat(rng *rand.Rand, a site.Account) *chat {
	p.started++
	return &chat{
		id: fmt.Sprintf("%s-chat%d", a.Name, p.started),
		messages: []engined.Message{{
			Role:    "system",
			Content: systemPrompt(a.Name, rng.IntN(systemPrompts)),
		}},
	}
}

func systemPrompt(account fleet.Account, n int) string {
	text := fmt.Sprintf("rules %d of %s. ", n, account)
	return text + strings.Repeat("word ", systemTokens*bytesPerToken/len("word "))
}

func words(rng *rand.Rand, tokens int) string {
	var b strings.Builder
	for range tokens {
		fmt.Fprintf(&b, "%03x ", rng.IntN(1<<12))
	}
	return b.String()
}

func (p *planner) orders() {
	rng := p.rng(streamOrders)
	for _, a := range p.opt.Shape.Accounts {
		rate := p.opt.Shape.OrderRate * a.Share / p.totalShare()
		p.arrivals(rng, rate, 0, p.opt.Duration, func(at time.Duration) {
			body := fmt.Sprintf(`{"account":%q,"order":"%08x","copies":%d}`, a.Name, rng.Uint32(), 1+rng.IntN(9))
			p.out = append(p.out, Arrival{At: at, Kind: history.KindOrder, Account: a, Order: body})
		})
	}
}

func (p *planner) direct() {
	rng := p.rng(streamDirect)
	a := p.opt.Shape.Accounts[0]
	p.arrivals(rng, p.opt.DirectRate, 0, p.opt.Duration, func(at time.Duration) {
		before := len(p.out)
		p.turn(rng, a, at)
		p.out[before].Direct = true
	})
}
