package callerapi

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"strconv"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/shoenig/test/must"

	"github.com/zinniafork/zinniafork/internal/call"
	"github.com/zinniafork/zinniafork/internal/fleet"
	"github.com/zinniafork/zinniafork/internal/kernel"
	"github.com/zinniafork/zinniafork/internal/kernel/kerneltest"
	"github.com/zinniafork/zinniafork/internal/service/members"
)

func TestChatRequest(t *testing.T) {
	h := newHarness(t, kernel.SystemNetwork{}, "")
	resp, body := h.send(t, http.MethodPost, chatPath, chatText, map[string]string{
		HeaderChat:     "chat-7",
		HeaderPriority: "high",
		HeaderTimeout:  "5000",
	})
	must.Eq(t, http.StatusOK, resp.StatusCode)
	must.StrContains(t, body, "data: [DONE]\n\n")
	req := h.router.last()
	must.Eq(t, string(req.ID), resp.Header.Get("X-Request-Id"))
	must.Eq(t, "shop", req.Account)
	must.Eq(t, "chat-7", req.Chat)
	must.Eq(t, call.PriorityHigh, req.Priority)
	must.True(t, req.Repeatable)
	must.Between(t, 4*time.Second, time.Until(req.Deadline), 5*time.Second)
	must.True(t, h.figures.last().InTime)
}

func TestServiceRequest(t *testing.T) {
	h := newHarness(t, kernel.SystemNetwork{}, "")
	h.router.run = respondWith("text/plain", "done")
	resp, body := h.send(t, http.MethodPut, "/v1/services/print/shops//a%2Fb?x=1&y=2", "plate", map[string]string{
		HeaderIdempotencyKey: "k1",
		"X-Shop":             "7",
		"Connection":         "X-Hop",
		"X-Hop":              "1",
	})
	must.Eq(t, "done", body)
	must.Eq(t, "w1", resp.Header.Get("X-Worker"))
	req := h.router.last()
	must.Eq(t, "print", req.Service)
	must.Eq(t, "/shops//a%2Fb?x=1&y=2", req.Path)
	must.Eq(t, http.MethodPut, req.Method)
	must.Eq(t, "k1", req.Key)
	must.False(t, req.Repeatable)
	must.Eq(t, "7", req.Header.Get("X-Shop"))
	must.Eq(t, "", req.Header.Get("X-Hop"))
	must.Eq(t, "", req.Header.Get("Authorization"), must.Sprint("the key of the caller is not sent to targets"))

	_, _ = h.send(t, http.MethodGet, "/v1/services/print/status", "", nil)
	must.True(t, h.router.last().Repeatable)
}

func TestInvalidRequests(t *testing.T) {
	h := newHarness(t, kernel.SystemNetwork{}, "max_body_bytes = 1000")
	cases := []struct {
		name   string
		method string
		path   string
		body   string
		header map[string]string
		status int
		code   call.Code
	}{
		{"not JSON", http.MethodPost, chatPath, "hello", nil, 400, call.CodeBadRequest},
		{"no messages", http.MethodPost, chatPath, `{"model":"m"}`, nil, 400, call.CodeBadRequest},
		{"unknown model", http.MethodPost, chatPath, strings.ReplaceAll(chatText, `"m"`, `"no"`), nil, 404, call.CodeNotFound},
		{"too large", http.MethodPost, chatPath, strings.Repeat("x", 2000), nil, 413, call.CodeTooLarge},
		{"bad priority", http.MethodPost, chatPath, chatText, map[string]string{HeaderPriority: "9"}, 400, call.CodeBadRequest},
		{"bad timeout", http.MethodPost, chatPath, chatText, map[string]string{HeaderTimeout: "-1"}, 400, call.CodeBadRequest},
		{"bad event ID", http.MethodPost, chatPath, chatText, map[string]string{HeaderLastEventID: "x"}, 400, call.CodeBadRequest},
		{"unknown service", http.MethodGet, "/v1/services/no/x", "", nil, 404, call.CodeNotFound},
		{"no service", http.MethodGet, "/v1/services/", "", nil, 404, call.CodeNotFound},
		{"path with ..", http.MethodGet, "/v1/services/print/%2e%2e/x", "", nil, 400, call.CodeBadRequest},
		{"unknown path", http.MethodGet, "/v2/x", "", nil, 404, call.CodeNotFound},
		{"wrong method", http.MethodGet, chatPath, "", nil, 404, call.CodeNotFound},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			resp, body := h.send(t, c.method, c.path, c.body, c.header)
			must.Eq(t, c.status, resp.StatusCode)
			e := decodeError(t, body)
			must.Eq(t, c.code, e.Code)
			must.Eq(t, call.RunNot, e.Run)
			must.Eq(t, "caller", e.Step)
			must.NotEq(t, "", e.Message)
			must.NotEq(t, "", e.Type)
		})
	}
	must.Eq(t, 0, len(h.router.seen))
}

// TestUnauthorizedResponsesAreIdentical guards against responses that show which
// paths, models or services exist to a caller without a valid key.
func TestUnauthorizedResponsesAreIdentical(t *testing.T) {
	h := newHarness(t, kernel.SystemNetwork{}, "")
	bodies := make(map[string]bool)
	for _, path := range []string{chatPath, "/v1/services/print/x", "/v1/services/no/x", "/v1/entry", "/v1/models", "/v2/x"} {
		for _, auth := range []string{"", "Bearer wrong", key, "Basic " + key} {
			resp, body := h.send(t, http.MethodPost, path, "hello", map[string]string{"Authorization": auth})
			must.Eq(t, http.StatusUnauthorized, resp.StatusCode)
			bodies[body] = true
		}
	}
	must.Eq(t, 1, len(bodies), must.Sprint("the same response to all"))
}

func TestErrorResponses(t *testing.T) {
	cases := []struct {
		e      call.Error
		status int
		after  string
	}{
		{call.Error{Code: call.CodeOverloaded, Step: "admission", Peer: "engine-1", Run: call.RunNot, RetryAfter: 1500 * time.Millisecond}, 503, "2"},
		{call.Error{Code: call.CodeUnavailable, Step: "peer", Peer: "b", Run: call.RunUnknown}, 503, "1"},
		{call.Error{Code: call.CodeRateLimited, Run: call.RunNot}, 429, "1"},
		{call.Error{Code: call.CodeDeadline, Run: call.RunUnknown}, 504, ""},
		{call.Error{Code: call.CodeTargetError, Run: call.RunUnknown}, 502, ""},
		{call.Error{Code: call.CodeKeyReused, Run: call.RunNot}, 422, ""},
		{call.Error{Code: call.CodeUnknownOutcome, Run: call.RunUnknown, StatusLink: "/v1/orders/k"}, 503, "1"},
	}
	h := newHarness(t, kernel.SystemNetwork{}, "")
	for _, c := range cases {
		t.Run(string(c.e.Code), func(t *testing.T) {
			c.e.Message = "what went wrong"
			c.e.Cause = errors.New("inner cause")
			h.router.run = failWith(&c.e)
			resp, body := h.send(t, http.MethodPost, chatPath, chatText, nil)
			must.Eq(t, c.status, resp.StatusCode)
			must.Eq(t, c.after, resp.Header.Get("Retry-After"))
			e := decodeError(t, body)
			exact, _ := strconv.ParseInt(resp.Header.Get(HeaderRetryAfter), 10, 64)
			must.Eq(t, e.RetryAfterMS, exact)
			must.Eq(t, c.e.Code, e.Code)
			must.Eq(t, c.e.Step, e.Step)
			must.Eq(t, c.e.Peer, e.Peer)
			must.Eq(t, c.e.Run, e.Run)
			must.StrNotContains(t, body, "inner cause")
			must.Eq(t, c.e.Code, h.figures.last().Code)
			must.False(t, h.figures.last().InTime)
		})
	}
}

func TestConcurrencyLimits(t *testing.T) {
	release := make(chan struct{})
	started := make(chan struct{}, 8)
	hold := func(ctx context.Context, req *call.Request, sink call.Sink) error {
		started <- struct{}{}
		<-release
		return respondWith("text/event-stream", stream)(ctx, req, sink)
	}
	cases := []struct {
		settings string
		running  int
		status   int
		code     call.Code
	}{
		{"", 2, http.StatusTooManyRequests, call.CodeRateLimited},
		{"max_concurrent = 1", 1, http.StatusServiceUnavailable, call.CodeOverloaded},
	}
	for _, c := range cases {
		t.Run(string(c.code), func(t *testing.T) {
			h := newHarness(t, kernel.SystemNetwork{}, c.settings)
			h.router.run = hold
			done := make(chan int, c.running)
			for range c.running {
				go func() {
					resp, _ := h.send(t, http.MethodPost, chatPath, chatText, nil)
					done <- resp.StatusCode
				}()
				<-started
			}
			resp, body := h.send(t, http.MethodPost, chatPath, chatText, nil)
			must.Eq(t, c.status, resp.StatusCode)
			must.Eq(t, c.code, decodeError(t, body).Code)
			must.Eq(t, call.RunNot, decodeError(t, body).Run)
			for range c.running {
				release <- struct{}{}
				must.Eq(t, http.StatusOK, <-done)
			}
		})
	}
}

// eventIDs returns the event IDs of a stream.
func eventIDs(body string) []string {
	var out []string
	for line := range strings.SplitSeq(body, "\n") {
		if id, ok := strings.CutPrefix(line, "id: "); ok {
			out = append(out, id)
		}
	}
	return out
}

// withoutIDs returns the body of a stream without the event IDs.
func withoutIDs(body string) string {
	for _, id := range eventIDs(body) {
		body = strings.ReplaceAll(body, "id: "+id+"\n", "")
	}
	return body
}

// TestStreamResumesAfterEachEvent resumes a complete stream after each event ID, at
// a target that has the response and with another run of the request.
func TestStreamResumesAfterEachEvent(t *testing.T) {
	h := newHarness(t, kernel.SystemNetwork{}, "")
	_, full := h.send(t, http.MethodPost, chatPath, chatText, nil)
	must.Eq(t, stream, withoutIDs(full))
	must.Eq(t, 3, len(eventIDs(full)))
	firstID := h.router.last().ID
	resumes := respondWith("text/event-stream", stream)
	rerun := func(ctx context.Context, req *call.Request, sink call.Sink) error {
		if req.ResumeFrom > 0 {
			return &call.Error{Code: call.CodeResumeImpossible, Run: call.RunNot}
		}
		return resumes(ctx, req, sink)
	}
	for i, id := range eventIDs(full) {
		for name, run := range map[string]func(context.Context, *call.Request, call.Sink) error{"engine resumes": resumes, "another run": rerun} {
			t.Run(fmt.Sprint(name, i), func(t *testing.T) {
				h.router.run = run
				resp, rest := h.send(t, http.MethodPost, chatPath, chatText, map[string]string{HeaderLastEventID: id})
				must.Eq(t, http.StatusOK, resp.StatusCode)
				must.Eq(t, firstID, h.router.last().ID, must.Sprint("the request keeps its ID"))
				_, want, _ := strings.Cut(full, "id: "+id+"\n")
				_, want, _ = strings.Cut(want, "\n\n")
				must.Eq(t, want, rest)
			})
		}
	}
}

// TestDifferentResponseIsNotAppended resumes after an event with a run that gives a
// different response. The caller must get an error and no events of that run.
func TestDifferentResponseIsNotAppended(t *testing.T) {
	h := newHarness(t, kernel.SystemNetwork{}, "")
	_, full := h.send(t, http.MethodPost, chatPath, chatText, nil)
	h.router.run = func(ctx context.Context, req *call.Request, sink call.Sink) error {
		if req.ResumeFrom > 0 {
			return &call.Error{Code: call.CodeResumeImpossible, Run: call.RunNot}
		}
		return respondWith("text/event-stream", strings.ReplaceAll(stream, `"a"`, `"z"`))(ctx, req, sink)
	}
	_, rest := h.send(t, http.MethodPost, chatPath, chatText, map[string]string{HeaderLastEventID: eventIDs(full)[1]})
	must.StrContains(t, rest, "event: error")
	must.StrContains(t, rest, string(call.CodeResumeImpossible))
	must.StrNotContains(t, rest, "content")
	must.StrNotContains(t, rest, "[DONE]")
}

func TestOtherAccountsCannotResume(t *testing.T) {
	h := newHarness(t, kernel.SystemNetwork{}, "")
	_, full := h.send(t, http.MethodPost, chatPath, chatText, nil)
	resp, _ := h.send(t, http.MethodPost, chatPath, chatText, map[string]string{
		HeaderLastEventID: eventIDs(full)[0],
		"Authorization":   "Bearer other",
	})
	must.Eq(t, http.StatusBadRequest, resp.StatusCode)
}

// TestCutStreamIsContinued cuts a stream after each byte. The caller must get the
// complete response, or an error if the next run gives a different response or the
// stream must not be resumed.
func TestCutStreamIsContinued(t *testing.T) {
	other := strings.ReplaceAll(stream, `"a"`, `"z"`)
	cases := []struct {
		name      string
		nextBody  string
		resumes   bool
		exhausted bool
		code      call.Code
		complete  bool
	}{
		{name: "engine resumes", nextBody: stream, resumes: true, code: call.CodeCut, complete: true},
		{name: "another run", nextBody: stream, code: call.CodeUnavailable, complete: true},
		{name: "different response", nextBody: other, code: call.CodeCut},
		{name: "no budget", nextBody: stream, exhausted: true, code: call.CodeCut},
		{name: "canceled", nextBody: stream, code: call.CodeCanceled},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			h := newHarness(t, kernel.SystemNetwork{}, "")
			h.router.exhausted = c.exhausted
			for cut := 1; cut < len(stream); cut++ {
				first := true
				h.router.run = func(ctx context.Context, req *call.Request, sink call.Sink) error {
					switch {
					case first:
						first = false
						_ = sink.Head(call.Head{Status: 200, Header: http.Header{"Content-Type": {"text/event-stream"}}})
						_ = sink.Chunk(call.Chunk{Data: []byte(stream[:cut])})
						return &call.Error{Code: c.code, Step: "target", Run: call.RunUnknown}
					case req.ResumeFrom > 0 && !c.resumes:
						return &call.Error{Code: call.CodeResumeImpossible, Run: call.RunNot}
					}
					return respondWith("text/event-stream", c.nextBody)(ctx, req, sink)
				}
				_, body := h.send(t, http.MethodPost, chatPath, chatText, nil)
				eventSent := strings.Contains(stream[:cut], "\n\n")
				if c.complete {
					must.Eq(t, stream, withoutIDs(body))
					must.Eq(t, 2, h.router.last().Attempt)
					continue
				}
				if c.nextBody == other && !eventSent {
					must.Eq(t, other, withoutIDs(body), must.Sprint("no event of the first run was sent"))
					continue
				}
				must.StrContains(t, body, "event: error")
				must.StrNotContains(t, body, "[DONE]")
				must.StrNotContains(t, body, `"z"`)
			}
		})
	}
}

// TestCutResponsesDoNotLookComplete cuts responses in the middle. A stream must end
// with an error event, and any other response with a broken connection.
func TestCutResponsesDoNotLookComplete(t *testing.T) {
	h := newHarness(t, kernel.SystemNetwork{}, "")
	h.router.exhausted = true
	h.router.run = func(_ context.Context, req *call.Request, sink call.Sink) error {
		contentType := "text/plain"
		if req.Kind == call.KindChat {
			contentType = "text/event-stream"
		}
		_ = sink.Head(call.Head{Status: 200, Header: http.Header{"Content-Type": {contentType}}})
		_ = sink.Chunk(call.Chunk{Data: []byte(stream[:len(stream)/2])})
		return &call.Error{Code: call.CodeCut, Step: "target", Peer: "engine-1", Run: call.RunUnknown, Message: "cut"}
	}
	_, body := h.send(t, http.MethodPost, chatPath, chatText, nil)
	must.StrContains(t, body, "event: error\ndata: {\"error\":{\"code\":\"answer_cut\"")
	must.StrNotContains(t, body, "[DONE]")

	resp := h.open(t, http.MethodGet, "/v1/services/print/x", "", nil)
	defer resp.Body.Close()
	buf := make([]byte, 1<<16)
	var err error
	for err == nil {
		_, err = resp.Body.Read(buf)
	}
	must.StrContains(t, err.Error(), "unexpected EOF")
}

func TestEntryLookup(t *testing.T) {
	h := newHarness(t, kernel.SystemNetwork{}, "entry_lifetime = \"1s\"")
	member := func(vm fleet.VM, status members.State) members.Member {
		m := members.Member{Status: status}
		m.VM, m.DataCentre, m.CallerAddr = vm, "dc1", string(vm)+":7001"
		return m
	}
	h.members.rows = []members.Member{
		member("dc1a", members.StateAlive),
		member("dc1b", members.StateAlive),
		member("dc1c", members.StateAlive),
		member("dc1d", members.StateLeaving),
		member("dc1e", members.StateSuspect),
		member("dc1f", members.StateDead),
	}
	lookup := func(query string) []fleet.VM {
		resp, body := h.send(t, http.MethodGet, "/v1/entry"+query, "", nil)
		must.Eq(t, http.StatusOK, resp.StatusCode)
		var out EntryResponse
		must.NoError(t, json.Unmarshal([]byte(body), &out))
		must.Eq(t, 1000, out.LifetimeMS)
		var vms []fleet.VM
		for _, a := range out.Addresses {
			must.Eq(t, "http://"+string(a.VM)+":7001", a.URL)
			vms = append(vms, a.VM)
		}
		return vms
	}
	must.SliceContainsAll(t, []fleet.VM{"dc1a", "dc1b", "dc1c"}, lookup(""))
	h.router.owner = "dc1b"
	for range 10 {
		must.Eq(t, "dc1b", lookup("?chat=c1&model=m")[0])
	}
	h.draining.Store(true)
	must.SliceNotContains(t, lookup(""), "dc1a")
}

// TestDrainServesUntilLookupsHaveExpired sends a request during a drain, as a
// caller with a cached lookup does. The VM must serve it and requests that already
// run.
func TestDrainServesUntilLookupsHaveExpired(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		h := newHarness(t, kerneltest.NewNetwork(), "entry_lifetime = \"3s\"")
		h.router.run = func(ctx context.Context, req *call.Request, sink call.Sink) error {
			time.Sleep(10 * time.Second)
			return respondWith("text/event-stream", stream)(ctx, req, sink)
		}
		running := make(chan string, 2)
		sendChat := func() {
			_, body := h.send(t, http.MethodPost, chatPath, chatText, nil)
			running <- withoutIDs(body)
		}
		go sendChat()
		synctest.Wait()
		start := time.Now()
		drained := make(chan error, 1)
		go func() { drained <- h.kernel.Drain(context.Background()) }()
		time.Sleep(2 * time.Second)
		must.True(t, h.members.left.Load())
		resp, _ := h.send(t, http.MethodGet, "/readyz", "", nil)
		must.Eq(t, http.StatusServiceUnavailable, resp.StatusCode)
		go sendChat()
		must.NoError(t, <-drained)
		must.Between(t, 12*time.Second, time.Since(start), 13*time.Second)
		must.Eq(t, stream, <-running)
		must.Eq(t, stream, <-running, must.Sprint("a request within the lifetime of a lookup gets a complete response"))
	})
}

func TestSilentStreamGetsHeartbeats(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		h := newHarness(t, kerneltest.NewNetwork(), "heartbeat = \"1s\"")
		h.router.run = func(_ context.Context, _ *call.Request, sink call.Sink) error {
			_ = sink.Head(call.Head{Status: 200, Header: http.Header{"Content-Type": {"text/event-stream"}}})
			time.Sleep(3500 * time.Millisecond)
			_ = sink.Chunk(call.Chunk{Data: []byte(stream)})
			return sink.End(call.End{})
		}
		_, body := h.send(t, http.MethodPost, chatPath, chatText, nil)
		must.Eq(t, 3, strings.Count(body, ": waiting\n\n"))
		must.StrHasSuffix(t, "data: [DONE]\n\n", body)
	})
}

// TestStalledCallerIsDisconnected guards against a caller that reads nothing and
// holds a request forever.
func TestStalledCallerIsDisconnected(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		h := newHarness(t, kerneltest.NewNetwork(), "write_timeout = \"5s\"")
		ended := make(chan error, 1)
		h.router.run = func(_ context.Context, _ *call.Request, sink call.Sink) error {
			_ = sink.Head(call.Head{Status: 200, Header: http.Header{"Content-Type": {"text/plain"}}})
			var err error
			for offset := 0; err == nil; offset += len(stream) {
				err = sink.Chunk(call.Chunk{Offset: uint64(offset), Data: []byte(stream)})
			}
			ended <- err
			return &call.Error{Code: call.CodeCanceled, Run: call.RunUnknown, Cause: err}
		}
		start := time.Now()
		resp := h.open(t, http.MethodGet, "/v1/services/print/x", "", nil)
		must.ErrorContains(t, <-ended, "write to caller")
		must.LessEq(t, 6*time.Second, time.Since(start))
		_ = resp.Body.Close()
	})
}

func TestCallerTimeout(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		h := newHarness(t, kerneltest.NewNetwork(), "")
		h.router.run = func(ctx context.Context, _ *call.Request, _ call.Sink) error {
			<-ctx.Done()
			return &call.Error{Code: call.CodeDeadline, Run: call.RunNot, Cause: ctx.Err()}
		}
		start := time.Now()
		resp, _ := h.send(t, http.MethodPost, chatPath, chatText, map[string]string{HeaderTimeout: "1500"})
		must.Eq(t, http.StatusGatewayTimeout, resp.StatusCode)
		must.Eq(t, 1500*time.Millisecond, time.Since(start))
	})
}

func TestModelsAndHealth(t *testing.T) {
	h := newHarness(t, kernel.SystemNetwork{}, "")
	_, body := h.send(t, http.MethodGet, "/v1/models", "", nil)
	must.StrContains(t, body, `{"id":"m","object":"model"`)
	for _, path := range []string{"/healthz", "/readyz"} {
		resp, _ := h.send(t, http.MethodGet, path, "", nil)
		must.Eq(t, http.StatusOK, resp.StatusCode)
	}
}

func TestSettingsValidation(t *testing.T) {
	s := DefaultSettings()
	must.NoError(t, s.validate())
	s.MaxBodyBytes = 0
	must.ErrorContains(t, s.validate(), "max_body_bytes")
	s = DefaultSettings()
	s.TLS.CertFile = "cert.pem"
	must.ErrorContains(t, s.validate(), "both cert_file and key_file")
}
