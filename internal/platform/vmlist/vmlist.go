// Package vmlist is the client of the platform's VM list. The list lags: it
// may name VMs that are gone and miss VMs that are there.
package vmlist

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"time"

	"github.com/dghubble/sling"

	"github.com/zinniafork/zinniafork/internal/core/fleet"
)

// List is the answer of the VM list.
type List struct {
	VMs []fleet.VMInfo `json:"vms"`
}

// Source gives the current VM list.
type Source interface {
	Fetch(ctx context.Context) (List, error)
}

// Client reads the VM list over HTTP.
type Client struct {
	base *sling.Sling
	http *http.Client
	peer string
}

// fetchTimeout limits a read of the list.
const fetchTimeout = 2 * time.Second

// New returns a client of the VM list at baseURL.
func New(baseURL string, http *http.Client) *Client {
	return &Client{base: sling.New().Client(http).Base(baseURL), http: http, peer: baseURL}
}

// Fetch reads the list.
func (c *Client) Fetch(ctx context.Context) (List, error) {
	ctx, cancel := context.WithTimeout(ctx, fetchTimeout)
	defer cancel()
	s := c.base.New().Get("/v1/vms")
	req, err := s.Request()
	if err != nil {
		return List{}, fmt.Errorf("VM list: build request: %w", err)
	}
	var out List
	resp, err := s.Do(req.WithContext(ctx), &out, nil)
	if err != nil {
		if errors.Is(ctx.Err(), context.DeadlineExceeded) {
			// Idle connections may be as silent as the one that was used.
			c.http.CloseIdleConnections()
		}
		return List{}, fmt.Errorf("VM list at %s: %w", c.peer, err)
	}
	if resp.StatusCode != http.StatusOK {
		return List{}, fmt.Errorf("VM list at %s: status %d", c.peer, resp.StatusCode)
	}
	return out, nil
}
