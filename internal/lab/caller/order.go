package caller

import (
	"context"
	"encoding/json"
	"io"
	"math/rand/v2"
	"net/http"
	"time"

	"github.com/google/uuid"

	"github.com/zinniafork/zinniafork/internal/call"
	"github.com/zinniafork/zinniafork/internal/lab/history"
	"github.com/zinniafork/zinniafork/internal/lab/workload"
	"github.com/zinniafork/zinniafork/internal/service/callerapi"
)

// order is one order under way.
type order struct {
	key  string
	body string
	// answer is what the caller received, want the right answer.
	answer, want string
}

func (o *order) use(key string) {
	o.key = key
	o.want = receipt(key, o.body)
}

// receipt is what an order's answer must say.
func receipt(key, body string) string { return key + " " + body }

// order sends an order until it has an answer. It keeps its idempotency key,
// but for a refusal that says that the log is away and that nothing ran: then
// it goes on with a ticket.
func (c *Client) order(ctx context.Context, a workload.Arrival, intended time.Time) history.Request {
	o := &order{body: a.Order}
	if o.use(a.Key); a.Key == "" {
		o.use(c.newKey())
	}
	out := history.Request{
		ID:       a.ID,
		Kind:     history.KindOrder,
		Account:  a.Account.Name,
		Intended: intended,
		Limit:    OrderLimit,
	}
	out.Attempts = c.retry(ctx, "", intended.Add(orderPatience), func(ctx context.Context, e entry) (history.Attempt, verdict) {
		at, v := c.tryOrder(ctx, e, o)
		if at.Code == string(call.CodeLogUnavailable) && at.Run == history.RunNot {
			c.takeTicket(ctx, e, o)
		}
		return at, v
	})
	out.Key, out.Answer, out.Want = o.key, o.answer, o.want
	return out
}

func (c *Client) tryOrder(ctx context.Context, e entry, o *order) (history.Attempt, verdict) {
	at := history.Attempt{Start: time.Now(), Key: o.key}
	t := newCall(ctx)
	defer t.end()
	t.watch.Reset(OrderLimit)
	resp, err := c.post(t.ctx, e.url+"/v1/services/"+string(c.opt.Service)+"/orders", []byte(o.body),
		map[string]string{callerapi.HeaderIdempotencyKey: o.key})
	if err != nil {
		return failed(ctx, at, err)
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return refused(ctx, at, resp)
	}
	at.Status = resp.StatusCode
	data, err := io.ReadAll(resp.Body)
	if err != nil {
		return failed(ctx, at, err)
	}
	at.End = time.Now()
	at.FirstByte, at.Whole = at.End, true
	var in struct {
		Key  string `json:"key"`
		Echo string `json:"echo"`
	}
	if json.Unmarshal(data, &in) != nil || in.Key == "" {
		o.answer = string(data)
		return at, verdict{stop: true}
	}
	o.answer = receipt(in.Key, in.Echo)
	return at, verdict{stop: true}
}

// takeTicket replaces the order's key by one that runs while the log is away.
func (c *Client) takeTicket(ctx context.Context, e entry, o *order) {
	ctx, cancel := context.WithTimeout(ctx, answerLimit)
	defer cancel()
	resp, err := c.post(ctx, e.url+"/v1/tickets", nil, nil)
	if err != nil {
		return
	}
	defer resp.Body.Close()
	var in struct {
		Tickets []string `json:"tickets"`
	}
	if resp.StatusCode != http.StatusOK || json.NewDecoder(resp.Body).Decode(&in) != nil || len(in.Tickets) == 0 {
		return
	}
	o.use(in.Tickets[0])
}

// newKey returns an idempotency key that carries its time.
func (c *Client) newKey() string {
	c.mu.Lock()
	defer c.mu.Unlock()
	id, err := uuid.NewV7FromReader(reader{c.rng})
	if err != nil {
		panic(err) // the reader does not fail
	}
	return id.String()
}

// reader gives the bytes of a random source.
type reader struct{ rng *rand.Rand }

func (r reader) Read(p []byte) (int, error) {
	for i := range p {
		p[i] = byte(r.rng.Uint32())
	}
	return len(p), nil
}
