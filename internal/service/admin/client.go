package admin

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strings"

	"github.com/dghubble/sling"
)

// maxAnswer limits an answer of the API, in bytes.
const maxAnswer = 64 << 20

// Client calls the administration API of one router.
type Client struct {
	base *sling.Sling
	http *http.Client
	peer string
}

// NewClient returns a client of the router at baseURL that uses key.
func NewClient(baseURL, key string, client *http.Client) *Client {
	return &Client{
		base: sling.New().Base(strings.TrimSuffix(baseURL, "/")).Set("Authorization", "Bearer "+key),
		http: client,
		peer: baseURL,
	}
}

// Get reads path with a query and decodes the answer into out. A refusal is
// an *Error.
func (c *Client) Get(ctx context.Context, path string, query, out any) error {
	s := c.base.New().Get(path)
	if query != nil {
		s = s.QueryStruct(query)
	}
	return c.do(ctx, s, path, out)
}

// Post sends in to path and decodes the answer into out.
func (c *Client) Post(ctx context.Context, path string, in, out any) error {
	return c.do(ctx, c.base.New().Post(path).BodyJSON(in), path, out)
}

func (c *Client) do(ctx context.Context, s *sling.Sling, path string, out any) error {
	req, err := s.Request()
	if err != nil {
		return fmt.Errorf("build request of %s: %w", path, err)
	}
	resp, err := c.http.Do(req.WithContext(ctx))
	if err != nil {
		return fmt.Errorf("call router at %s: %w", c.peer, err)
	}
	defer resp.Body.Close()
	data, err := io.ReadAll(io.LimitReader(resp.Body, maxAnswer))
	if err != nil {
		return fmt.Errorf("read answer of router at %s: %w", c.peer, err)
	}
	if resp.StatusCode == http.StatusOK {
		if err := json.Unmarshal(data, out); err != nil {
			return fmt.Errorf("answer of router at %s to %s: %w", c.peer, path, err)
		}
		return nil
	}
	failure := &Error{Status: resp.StatusCode}
	if err := json.Unmarshal(data, failure); err != nil || failure.Code == "" {
		failure.Code = CodeInternal
		failure.Message = fmt.Sprintf("router at %s answered status %d: %s", c.peer, resp.StatusCode, bytes.TrimSpace(data))
	}
	return failure
}
