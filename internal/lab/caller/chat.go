package caller

import (
	"bufio"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strings"
	"time"

	"github.com/zinniafork/zinniafork/internal/call"
	"github.com/zinniafork/zinniafork/internal/lab/history"
	"github.com/zinniafork/zinniafork/internal/lab/workload"
	"github.com/zinniafork/zinniafork/internal/service/callerapi"
	"github.com/zinniafork/zinniafork/internal/standin/engined"
)

// answer is what a caller has received of one chat answer.
type answer struct {
	text   strings.Builder
	lastID string
}

// errCut means that an answer ended before its end mark.
var errCut = errors.New("answer ended without its end mark")

// chat sends one turn of a chat.
func (c *Client) chat(ctx context.Context, a workload.Arrival, intended time.Time) history.Request {
	prompt := engined.Blocks(a.Prompt.Model, a.Prompt.Messages)
	out := history.Request{
		ID:       a.ID,
		Kind:     history.KindChat,
		Account:  a.Account.Name,
		Chat:     a.Chat,
		Intended: intended,
		Limit:    ChatLimit,
		Want:     engined.Answer(prompt, a.Prompt.MaxTokens),
	}
	for _, b := range prompt {
		out.Prompt = append(out.Prompt, history.Block{Hash: b.Hash, Tokens: b.Tokens})
	}
	out.Reply = reply(a.Prompt, out.Want)
	body, err := json.Marshal(a.Prompt)
	if err != nil {
		panic(err) // a prompt of strings always encodes
	}
	got := new(answer)
	try := func(ctx context.Context, e entry) (history.Attempt, verdict) {
		return c.tryChat(ctx, e.url, a.Chat, body, got)
	}
	if a.Direct {
		at, _ := c.tryChat(ctx, c.opt.DirectURL, a.Chat, body, got)
		out.Attempts = []history.Attempt{at}
	} else {
		out.Attempts = c.retry(ctx, a.Chat, intended.Add(ChatLimit), try)
	}
	out.Answer = got.text.String()
	return out
}

// reply returns the block that an answer adds to the prompt of the next turn.
func reply(in engined.ChatRequest, text string) history.Block {
	next := append(append([]engined.Message(nil), in.Messages...), engined.Message{Role: "assistant", Content: text})
	blocks := engined.Blocks(in.Model, next)
	last := blocks[len(blocks)-1]
	return history.Block{Hash: last.Hash, Tokens: last.Tokens}
}

// tryChat sends the request once. When part of the answer is there, it asks
// for the rest.
func (c *Client) tryChat(ctx context.Context, url, chat string, body []byte, got *answer) (history.Attempt, verdict) {
	at := history.Attempt{Start: time.Now()}
	t := newCall(ctx)
	defer t.end()
	header := map[string]string{callerapi.HeaderChat: chat}
	if got.lastID == "" {
		got.text.Reset()
	} else {
		header[callerapi.HeaderLastEventID] = got.lastID
	}
	resp, err := c.post(t.ctx, url+"/v1/chat/completions", body, header)
	if err != nil {
		return failed(ctx, at, err)
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		at, v := refused(ctx, at, resp)
		return at, got.restartAfter(at, v)
	}
	at.Status = resp.StatusCode
	if err := t.readEvents(resp.Body, got, &at); err != nil {
		at, v := failed(ctx, at, err)
		return at, got.restartAfter(at, v)
	}
	at.End = time.Now()
	at.Whole = true
	return at, verdict{stop: true}
}

// restartAfter gives up what was received when the answer can't be resumed.
func (got *answer) restartAfter(at history.Attempt, v verdict) verdict {
	if at.Code == string(call.CodeResumeImpossible) {
		got.lastID = ""
		v.stop = false
	}
	return v
}

// readEvents reads server-sent events up to the end mark.
func (c *watchedCall) readEvents(body io.Reader, got *answer, at *history.Attempt) error {
	lines := bufio.NewScanner(body)
	lines.Buffer(nil, maxEventBytes)
	id := ""
	for lines.Scan() {
		c.progress(at.FirstByte.IsZero())
		line := lines.Text()
		if value, ok := strings.CutPrefix(line, "id:"); ok {
			id = strings.TrimSpace(value)
			continue
		}
		data, ok := strings.CutPrefix(line, "data:")
		if !ok {
			continue
		}
		data = strings.TrimSpace(data)
		if data == "[DONE]" {
			return nil
		}
		content, err := decodeChunk(data, at)
		if err != nil {
			return err
		}
		if content != "" && at.FirstByte.IsZero() {
			at.FirstByte = time.Now()
		}
		got.text.WriteString(content)
		got.lastID = id
	}
	if err := lines.Err(); err != nil {
		return err
	}
	return errCut
}

// maxEventBytes limits the length of one event.
const maxEventBytes = 1 << 20

// decodeChunk returns the text of one event. An event that reports an error
// is noted in the attempt.
func decodeChunk(data string, at *history.Attempt) (string, error) {
	var in struct {
		Choices []struct {
			Delta struct {
				Content string `json:"content"`
			} `json:"delta"`
		} `json:"choices"`
		Error *reportedError `json:"error"`
	}
	if err := json.Unmarshal([]byte(data), &in); err != nil {
		return "", fmt.Errorf("event %q: %w", data, err)
	}
	if in.Error != nil {
		in.Error.note(at)
		return "", fmt.Errorf("the router reports %s at %s", in.Error.Code, in.Error.Step)
	}
	var text strings.Builder
	for _, c := range in.Choices {
		text.WriteString(c.Delta.Content)
	}
	return text.String(), nil
}
