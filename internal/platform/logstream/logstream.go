// Package logstream is the client of the platform's append-only log service.
//
// The service keeps named streams of records. Offsets rise by one for each
// record of a stream and are never used twice. Records expire after the
// retention of the service, so a stream may begin above offset zero.
package logstream

import (
	"context"
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
	peer string
}

// New returns a client of the service at baseURL.
func New(baseURL string, http *http.Client) *Client {
	return &Client{base: sling.New().Client(http).Base(baseURL), peer: baseURL}
}

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
	s := c.base.New().Post(streamPath(stream)).BodyJSON(AppendRequest{Records: records})
	var out AppendResponse
	if err := c.do(ctx, "append", s, &out); err != nil {
		return 0, err
	}
	return out.First, nil
}

// Read returns records of a stream.
func (c *Client) Read(ctx context.Context, stream string, from uint64, limit int, wait time.Duration) (Page, error) {
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
	resp, err := s.Do(req.WithContext(ctx), out, nil)
	if err != nil {
		return fmt.Errorf("log %s at %s: %w: %w", step, c.peer, ErrUnavailable, err)
	}
	if resp.StatusCode >= http.StatusInternalServerError {
		return fmt.Errorf("log %s at %s: status %d: %w", step, c.peer, resp.StatusCode, ErrUnavailable)
	}
	if resp.StatusCode != http.StatusOK {
		return fmt.Errorf("log %s at %s: status %d: %w", step, c.peer, resp.StatusCode, ErrRefused)
	}
	return nil
}

func streamPath(stream string) string {
	return "/v1/streams/" + url.PathEscape(stream) + "/records"
}
