package kerneltest

import (
	"context"
	"fmt"
	"net"
	"sync"
	"syscall"

	"github.com/zinniafork/zinniafork/internal/kernel"
)

// Cut is how the links of a partition fail.
type Cut string

// Kinds of cuts.
const (
	// CutNone ends the partition. Connections that hung stay silent.
	CutNone Cut = ""
	// CutHang lets open connections fall silent, and new ones wait without end.
	CutHang Cut = "hang"
	// CutReset resets open connections, and refuses new ones.
	CutReset Cut = "reset"
	// CutRefuse refuses new connections, while open ones live on.
	CutRefuse Cut = "refuse"
)

// View is the network as one VM sees it. It can be partitioned from some addresses.
type View struct {
	*Network

	mu    sync.Mutex
	cut   Cut
	from  map[string]bool
	conns map[string][]*conn
	dials map[string]int
}

// View returns the network as another VM sees it.
func (n *Network) View() *View {
	return &View{Network: n, conns: make(map[string][]*conn), dials: make(map[string]int)}
}

// Partition cuts the VM off from some addresses until the next call.
func (v *View) Partition(cut Cut, from ...string) {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.cut, v.from = cut, make(map[string]bool)
	for _, address := range from {
		v.from[address] = true
		for _, c := range v.conns[address] {
			switch cut {
			case CutHang:
				c.silent.Store(true)
				c.peer.silent.Store(true)
			case CutReset:
				c.reset.Store(true)
				_ = c.peer.Close()
			case CutNone, CutRefuse:
			}
		}
	}
}

// Reset resets the open connections to an address.
func (v *View) Reset(address string) {
	v.mu.Lock()
	defer v.mu.Unlock()
	for _, c := range v.conns[address] {
		c.reset.Store(true)
		_ = c.peer.Close()
	}
}

// Dials returns the number of connections that the VM has opened to an address.
func (v *View) Dials(address string) int {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.dials[address]
}

// DialContext opens a connection unless the VM is cut off from the address.
func (v *View) DialContext(ctx context.Context, network, address string) (net.Conn, error) {
	v.mu.Lock()
	cut := v.cut
	if !v.from[address] {
		cut = CutNone
	}
	v.mu.Unlock()
	switch cut {
	case CutHang:
		<-ctx.Done()
		return nil, fmt.Errorf("dial %s: %w", address, ctx.Err())
	case CutReset, CutRefuse:
		return nil, fmt.Errorf("dial %s: %w", address, syscall.ECONNREFUSED)
	case CutNone:
	}
	raw, err := v.Network.DialContext(ctx, network, address)
	if err != nil {
		return nil, err
	}
	v.mu.Lock()
	defer v.mu.Unlock()
	v.dials[address]++
	if c, ok := raw.(*conn); ok {
		v.conns[address] = append(v.conns[address], c)
	}
	return raw, nil
}

// Interface guard.
var _ kernel.Network = (*View)(nil)
