// Package weights is the client of the platform's weight store, which limits
// the rate of downloads.
package weights

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"strconv"
	"time"

	"github.com/zinniafork/zinniafork/internal/fleet"
)

// Errors of the weight store.
var (
	// ErrUnavailable means that the weights did not come whole.
	ErrUnavailable = errors.New("weight store gave no whole answer")
	// ErrNotFound means that the store does not have the weights.
	ErrNotFound = errors.New("weight store has no such weights")
)

// BusyError means that the store refused a download because of its rate.
type BusyError struct{ RetryAfter time.Duration }

// Error describes the refusal.
func (e *BusyError) Error() string {
	return fmt.Sprintf("weight store is busy, come back in %v", e.RetryAfter)
}

// Weights names what is downloaded. Version and Adapter may be empty.
type Weights struct {
	Model   fleet.Model
	Version string
	Adapter string
}

// Store gives weights.
type Store interface {
	// Fetch copies the weights into out and returns their length in bytes.
	Fetch(ctx context.Context, w Weights, out io.Writer) (int64, error)
}

// Client reads the store over HTTP.
type Client struct {
	base string
	http *http.Client
}

// New returns a client of the store at baseURL.
func New(baseURL string, http *http.Client) *Client { return &Client{base: baseURL, http: http} }

// Fetch downloads weights. The time limit is that of ctx.
func (c *Client) Fetch(ctx context.Context, w Weights, out io.Writer) (int64, error) {
	r, err := http.NewRequestWithContext(ctx, http.MethodGet, c.base+"/v1/weights/"+path(w), http.NoBody)
	if err != nil {
		return 0, fmt.Errorf("weights at %s: build request: %w", c.base, err)
	}
	resp, err := c.http.Do(r)
	if err != nil {
		return 0, fmt.Errorf("weights at %s: %w: %w", c.base, ErrUnavailable, err)
	}
	defer resp.Body.Close()
	switch resp.StatusCode {
	case http.StatusOK:
	case http.StatusNotFound:
		return 0, fmt.Errorf("weights at %s: %s: %w", c.base, path(w), ErrNotFound)
	case http.StatusTooManyRequests:
		seconds, _ := strconv.Atoi(resp.Header.Get("Retry-After"))
		return 0, fmt.Errorf("weights at %s: %w", c.base, &BusyError{RetryAfter: time.Duration(seconds) * time.Second})
	default:
		return 0, fmt.Errorf("weights at %s: status %d: %w", c.base, resp.StatusCode, ErrUnavailable)
	}
	n, err := io.Copy(out, resp.Body)
	if err != nil {
		return n, fmt.Errorf("weights at %s: %w: %w", c.base, ErrUnavailable, err)
	}
	return n, nil
}

func path(w Weights) string {
	p := url.PathEscape(string(w.Model))
	if w.Version != "" {
		p += "/" + url.PathEscape(w.Version)
	}
	if w.Adapter != "" {
		p += "/adapters/" + url.PathEscape(w.Adapter)
	}
	return p
}

// Interface guard.
var _ Store = (*Client)(nil)
