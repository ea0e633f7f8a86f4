package caller

import (
	"context"
	"encoding/json"
	"io"
	"math/rand/v2"
	"net/http"
	"time"

	"github.com/google/uuid"

	"github.com/zinniafork/zinniafork/internal/lab/history"
	"github.com/zinniafork/zinniafork/internal/lab/workload"
	"github.com/zinniafork/zinniafork/internal/service/callerapi"
)

// order sends an order under one idempotency key until it has an answer.
func (c *Client) order(ctx context.Context, a workload.Arrival, intended time.Time) history.Request {
	key := a.Key
	if key == "" {
		key = c.newKey()
	}
	out := history.Request{
		ID:       a.ID,
		Kind:     history.KindOrder,
		Account:  a.Account.Name,
		Key:      key,
		Intended: intended,
		Limit:    OrderLimit,
		Want:     receipt(key, a.Order),
	}
	out.Attempts = c.retry(ctx, "", intended.Add(orderPatience), func(ctx context.Context, e entry) (history.Attempt, verdict) {
		return c.tryOrder(ctx, e, key, a.Order, &out.Answer)
	})
	return out
}

// receipt is what an order's answer must say.
func receipt(key, body string) string { return key + " " + body }

func (c *Client) tryOrder(ctx context.Context, e entry, key, body string, answer *string) (history.Attempt, verdict) {
	at := history.Attempt{Start: time.Now()}
	t := newCall(ctx)
	defer t.end()
	t.watch.Reset(OrderLimit)
	resp, err := c.post(t.ctx, e.url+"/v1/services/"+string(c.opt.Service)+"/orders", []byte(body),
		map[string]string{callerapi.HeaderKey: key})
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
		*answer = string(data)
		return at, verdict{stop: true}
	}
	*answer = receipt(in.Key, in.Echo)
	return at, verdict{stop: true}
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
