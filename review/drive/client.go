//go:build review

package main

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net/http"
	"regexp"
	"strconv"
	"strings"
	"sync/atomic"
	"time"
)

// answer is what a client saw of one attempt.
type answer struct {
	id       string
	status   int
	stamp    string
	retry    time.Duration
	err      error
	whole    bool
	last     int
	versions map[string]bool
	body     string
}

var ids atomic.Int64

func newID() string { return fmt.Sprintf("%016x", 0x5a00000000000000+ids.Add(1)) }

var piece = regexp.MustCompile(`piece (\d+) of software (\S+) at`)

// silenceLimit is the gap after which clients abandon a stream: two seconds, four times
// the objective or eight times the pause, whichever is longest.
const silenceLimit = 2 * time.Second

// stream sends a stream request to a router and reads its events. resumes and after are
// empty and zero at the beginning.
func (b *bed) stream(front, path, session, resumes string, after, events int, deadline time.Duration) *answer {
	return b.streamOn(front, path, "5c1e07a2:800,d"+session[1:]+":400,"+session+":250", session, resumes, after, events, deadline)
}

// streamOn is stream with the parts of a prompt.
func (b *bed) streamOn(front, path, parts, session, resumes string, after, events int, deadline time.Duration) *answer {
	a := &answer{id: newID(), versions: make(map[string]bool), last: after}
	ctx, cancel := context.WithTimeout(context.Background(), deadline)
	defer cancel()
	r, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+front+path, strings.NewReader("prompt of "+session))
	if err != nil {
		a.err = err
		return a
	}
	r.Host = host
	r.Header.Set("X-Request-Id", a.id)
	r.Header.Set("X-Model", "m")
	r.Header.Set("X-Token-Counts", "1460,80")
	r.Header.Set("X-Prompt-Prefix", parts)
	r.Header.Set("X-Deadline-Ms", strconv.FormatInt(deadline.Milliseconds(), 10))
	r.Header.Set("Authorization", "Bearer "+apiKey)
	if after > 0 {
		r.Header.Set("Last-Event-Id", strconv.Itoa(after))
		r.Header.Set("Resumes", resumes)
	}
	transport := &http.Transport{DisableKeepAlives: true}
	defer transport.CloseIdleConnections()
	silence := time.AfterFunc(silenceLimit, cancel)
	defer silence.Stop()
	b.record.line("client sends %s to %s%s, session %s, after event %d, resumes %q", a.id, front, path, session, after, resumes)
	resp, err := transport.RoundTrip(r)
	if err != nil {
		a.err = err
		b.record.line("client gets no answer to %s: %v", a.id, err)
		return a
	}
	defer resp.Body.Close()
	a.status, a.stamp = resp.StatusCode, resp.Header.Get("X-Response-Stamp")
	if s, err := strconv.ParseFloat(resp.Header.Get("Retry-After"), 64); err == nil {
		a.retry = time.Duration(s * float64(time.Second))
	}
	if a.status != http.StatusOK {
		text, _ := io.ReadAll(io.LimitReader(resp.Body, 200))
		b.record.line("client gets %d for %s, Retry-After %s: %s", a.status, a.id, a.retry, strings.TrimSpace(string(text)))
		return a
	}
	lines := bufio.NewScanner(resp.Body)
	for lines.Scan() {
		silence.Reset(silenceLimit)
		if m := piece.FindStringSubmatch(lines.Text()); m != nil {
			a.last, _ = strconv.Atoi(m[1])
			a.versions[m[2]] = true
		}
	}
	a.err = lines.Err()
	a.whole = a.err == nil && a.last == events
	b.record.line("client's stream %s ends at event %d, whole %t, software %v, stamp %q: %v", a.id, a.last, a.whole, keys(a.versions), a.stamp, a.err)
	return a
}

func keys(m map[string]bool) []string {
	var out []string
	for k := range m {
		out = append(out, k)
	}
	return out
}

// plain sends a plain request and returns what came.
func (b *bed) plain(ctx context.Context, front, path, body string, deadline time.Duration) *answer {
	a := &answer{id: newID()}
	ctx, cancel := context.WithTimeout(ctx, deadline)
	defer cancel()
	r, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+front+path, strings.NewReader(body))
	if err != nil {
		a.err = err
		return a
	}
	r.Host = host
	r.Header.Set("X-Request-Id", a.id)
	r.Header.Set("X-Deadline-Ms", strconv.FormatInt(deadline.Milliseconds(), 10))
	r.Header.Set("Authorization", "Bearer "+apiKey)
	transport := &http.Transport{DisableKeepAlives: true}
	defer transport.CloseIdleConnections()
	b.record.line("client sends %s to %s%s, body %.30q", a.id, front, path, body)
	resp, err := transport.RoundTrip(r)
	if err != nil {
		a.err = err
		b.record.line("client gets no answer to %s: %v", a.id, err)
		return a
	}
	defer resp.Body.Close()
	text, err := io.ReadAll(resp.Body)
	a.status, a.stamp, a.body, a.err = resp.StatusCode, resp.Header.Get("X-Response-Stamp"), string(text), err
	b.record.line("client gets %d for %s, stamp %q: %.60q", a.status, a.id, a.stamp, a.body)
	return a
}
