// Package logstream is the client of the platform's append-only log service.
//
// The service keeps named streams of records. Offsets rise by one for each
// record of a stream and are never used twice. Records expire after the
// retention of the service, so a stream may begin above offset zero.
package logstream

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"net/url"
	"time"

	"github.com/dghubble/sling"
)

// Record is one entry of a stream.
type Record struct {
	Offset uint64    `json:"offset"`
	Time   time.Time `json:"time"`
	Data   []byte    `json:"data"`
}

// Page is the result of a read.
type Page struct {
	Records []Record `json:"records"`
	// Earliest is the offset of the oldest record that is kept.
	Earliest uint64 `json:"earliest"`
	// Next is the offset that the next appended record will get, as known
	// when the page was made.
	Next uint64 `json:"next"`
}

// Errors of the log service.
var (
	// ErrUnavailable means that the service gave no answer. An append may
	// have taken effect.
	ErrUnavailable = errors.New("log service gave no answer")
	// ErrRefused means that the service refused the call without effect.
	ErrRefused = errors.New("log service refused the call")
)

// Log reads and appends records.
type Log interface {
	// Append adds the records to the stream in order and without gaps between
	// them, and returns the offset of the first. After ErrUnavailable the
	// records may be in the stream or may still arrive in it.
	Append(ctx context.Context, stream string, records ...[]byte) (first uint64, err error)
	// Read returns at most limit records from offset on. When there is none
	// it waits up to wait for one.
	Read(ctx context.Context, stream string, from uint64, limit int, wait time.Duration) (Page, error)
}

// Client talks to the log service over HTTP.
type Client struct {
	base *sling.Sling
	http *http.Client
	peer string
}

// New returns a client of the service at baseURL.
func New(baseURL string, http *http.Client) *Client {
	return &Client{base: sling.New().Base(baseURL), http: http, peer: baseURL}
}

// Limits of calls: of an append, and of a read beyond its wait.
const (
	appendTimeout = 3 * time.Second
	readTimeout   = 2 * time.Second
)

// AppendRequest is the body of an append.
type AppendRequest struct {
	Records [][]byte `json:"records"`
}

// AppendResponse is the answer to an append.
type AppendResponse struct {
	First uint64 `json:"first"`
}

type readQuery struct {
	From   uint64 `url:"from"`
	Limit  int    `url:"limit"`
	WaitMS int64  `url:"wait_ms"`
}

// Append adds records to a stream.
func (c *Client) Append(ctx context.Context, stream string, records ...[]byte) (uint64, error) {
	ctx, cancel := context.WithTimeout(ctx, appendTimeout)
	defer cancel()
	s := c.base.New().Post(streamPath(stream)).BodyJSON(AppendRequest{Records: records})
	var out AppendResponse
	if err := c.do(ctx, "append", s, &out); err != nil {
		return 0, err
	}
	return out.First, nil
}

// Read returns records of a stream.
func (c *Client) Read(ctx context.Context, stream string, from uint64, limit int, wait time.Duration) (Page, error) {
	ctx, cancel := context.WithTimeout(ctx, wait+readTimeout)
	defer cancel()
	q := readQuery{From: from, Limit: limit, WaitMS: wait.Milliseconds()}
	s := c.base.New().Get(streamPath(stream)).QueryStruct(q)
	var out Page
	if err := c.do(ctx, "read", s, &out); err != nil {
		return Page{}, err
	}
	return out, nil
}

func (c *Client) do(ctx context.Context, step string, s *sling.Sling, out any) error {
	req, err := s.Request()
	if err != nil {
		return fmt.Errorf("log %s: build request: %w", step, err)
	}
	// The HTTP client must not append twice by itself.
	req.GetBody = nil
	resp, err := c.http.Do(req.WithContext(ctx))
	if err != nil {
		if errors.Is(ctx.Err(), context.DeadlineExceeded) {
			// Idle connections may be as silent as the one that was used.
			c.http.CloseIdleConnections()
		}
		return fmt.Errorf("log %s at %s: %w: %w", step, c.peer, ErrUnavailable, err)
	}
	defer resp.Body.Close()
	if resp.StatusCode >= http.StatusInternalServerError {
		return fmt.Errorf("log %s at %s: status %d: %w", step, c.peer, resp.StatusCode, ErrUnavailable)
	}
	if resp.StatusCode != http.StatusOK {
		return fmt.Errorf("log %s at %s: status %d: %w", step, c.peer, resp.StatusCode, ErrRefused)
	}
	if err := json.NewDecoder(resp.Body).Decode(out); err != nil {
		return fmt.Errorf("log %s at %s: %w: %w", step, c.peer, ErrUnavailable, err)
	}
	return nil
}

func streamPath(stream string) string {
	return "/v1/streams/" + url.PathEscape(stream) + "/records"
}
