// Package siteclient is a stand-in for clients of the users' platform: it asks
// the directory for addresses and sends requests, by the published protocol.
package siteclient

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"strings"
	"time"
)

// Request is one request of a client.
type Request struct {
	ID    string
	Host  string
	Route string
	Key   string
	// Deadline is how long the client waits.
	Deadline time.Duration
	// Prompt is the parts of a prompt; empty for a plain request.
	Prompt []string
	Body   string
	// Query is the query of the URI without its question mark.
	Query string
	// LastEvent is the id of the last event of the stream that the client has; empty at
	// the beginning.
	LastEvent string
	// Resumes is the id of the attempt that brought the stream's first event.
	Resumes string
}

// partTokens is the length of each part of a prompt.
const partTokens = 1000

// HTTP returns the request for a router at an address.
func (r *Request) HTTP(ctx context.Context, address string) (*http.Request, error) {
	body := io.NopCloser(strings.NewReader(r.Body)) // keeps the library from sending it twice
	out, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+address+"/"+r.Route+"/1", body)
	if err != nil {
		return nil, fmt.Errorf("build request: %w", err)
	}
	out.URL.RawQuery = r.Query
	out.ContentLength = int64(len(r.Body))
	out.Host = r.Host
	out.Header.Set("X-Request-Id", r.ID)
	out.Header.Set("X-Deadline-Ms", fmt.Sprint(r.Deadline.Milliseconds()))
	out.Header.Set("Authorization", "Bearer "+r.Key)
	if len(r.Prompt) > 0 {
		out.Header.Set("X-Model", "m")
		out.Header.Set("X-Prompt-Prefix", promptParts(r.Prompt))
	}
	if r.LastEvent != "" {
		out.Header.Set("Last-Event-Id", r.LastEvent)
	}
	if r.Resumes != "" {
		out.Header.Set("Resumes", r.Resumes)
	}
	return out, nil
}

func promptParts(ids []string) string {
	var parts []string
	for _, id := range ids {
		parts = append(parts, fmt.Sprintf("%s:%d", id, partTokens))
	}
	return strings.Join(parts, ",")
}

// Stamp returns the mark of a worker's run in an answer.
func Stamp(h http.Header) string { return h.Get("X-Response-Stamp") }

// Addresses asks a directory which routers to use.
func Addresses(ctx context.Context, client *http.Client, directory, host, dataCentre string) ([]string, error) {
	query := url.Values{"Name": {host}, "Zone": {dataCentre}}
	r, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+directory+"/-/resolve?"+query.Encode(), http.NoBody)
	if err != nil {
		return nil, fmt.Errorf("ask directory: %w", err)
	}
	resp, err := client.Do(r)
	if err != nil {
		return nil, fmt.Errorf("ask directory: %w", err)
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return nil, fmt.Errorf("ask directory at %s: status %d", directory, resp.StatusCode)
	}
	var out struct{ Addrs []string }
	if err := json.NewDecoder(resp.Body).Decode(&out); err != nil {
		return nil, fmt.Errorf("ask directory at %s: %w", directory, err)
	}
	return out.Addrs, nil
}

// Ready reports whether the router with that readiness address takes requests.
func Ready(ctx context.Context, client *http.Client, address string) bool {
	r, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address+"/-/ready", http.NoBody)
	if err != nil {
		return false
	}
	resp, err := client.Do(r)
	if err != nil {
		return false
	}
	defer resp.Body.Close()
	_, _ = io.Copy(io.Discard, resp.Body)
	return resp.StatusCode == http.StatusOK
}
