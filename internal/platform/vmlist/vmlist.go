// Package vmlist is the client of the platform's VM list. The list lags: it
// may name VMs that are gone and miss VMs that are there.
package vmlist

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"sync"
	"time"

	"github.com/dghubble/sling"

	"github.com/zinniafork/zinniafork/internal/fleet"
)

// List is the answer of the VM list.
type List struct {
	VMs []fleet.VMInfo `json:"vms"`
}

// Source gives the current VM list.
type Source interface {
	Fetch(ctx context.Context) (List, error)
}

// Client reads the VM list over HTTP. A list that has not changed since the
// last read is not sent again, where the service gives entity tags.
type Client struct {
	base *sling.Sling
	http *http.Client
	peer string

	mu   sync.Mutex
	tag  string
	last List
}

// fetchTimeout limits a read of the list.
const fetchTimeout = 2 * time.Second

// New returns a client of the VM list at baseURL.
func New(baseURL string, http *http.Client) *Client {
	return &Client{base: sling.New().Base(baseURL), http: http, peer: baseURL}
}

// Fetch reads the list. The caller must not change it.
func (c *Client) Fetch(ctx context.Context) (List, error) {
	ctx, cancel := context.WithTimeout(ctx, fetchTimeout)
	defer cancel()
	req, err := c.base.New().Get("/v1/vms").Request()
	if err != nil {
		return List{}, fmt.Errorf("VM list: build request: %w", err)
	}
	tag, last := c.known()
	if tag != "" {
		req.Header.Set("If-None-Match", tag)
	}
	resp, err := c.http.Do(req.WithContext(ctx))
	if err != nil {
		if errors.Is(ctx.Err(), context.DeadlineExceeded) {
			// Idle connections may be as silent as the one that was used.
			c.http.CloseIdleConnections()
		}
		return List{}, fmt.Errorf("VM list at %s: %w", c.peer, err)
	}
	defer resp.Body.Close()
	switch {
	case resp.StatusCode == http.StatusNotModified && tag != "":
		return last, nil
	case resp.StatusCode != http.StatusOK:
		return List{}, fmt.Errorf("VM list at %s: status %d", c.peer, resp.StatusCode)
	}
	var out List
	if err := json.NewDecoder(resp.Body).Decode(&out); err != nil {
		return List{}, fmt.Errorf("VM list at %s: %w", c.peer, err)
	}
	c.keep(resp.Header.Get("Etag"), out)
	return out, nil
}

func (c *Client) known() (string, List) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.tag, c.last
}

func (c *Client) keep(tag string, list List) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.tag, c.last = tag, list
}
