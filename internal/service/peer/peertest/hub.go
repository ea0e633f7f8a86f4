// Package peertest is an in-memory transport between routers, for tests of
// the services above it.
package peertest

import (
	"context"
	"sync"
	"time"

	"github.com/zinniafork/zinniafork/internal/call"
	"github.com/zinniafork/zinniafork/internal/fleet"
	"github.com/zinniafork/zinniafork/internal/kernel"
	"github.com/zinniafork/zinniafork/internal/service/peer"
)

// queueLength is the number of control messages that wait at one router.
const queueLength = 4096

// Hub connects the routers of one test.
type Hub struct {
	mu    sync.Mutex
	nodes map[fleet.VM]*Node
	cut   map[link]bool
	delay time.Duration
	// slow holds the delay of messages to single routers.
	slow map[fleet.VM]time.Duration
}

type link struct{ from, to fleet.VM }

// NewHub returns a hub that delivers messages after delay.
func NewHub(delay time.Duration) *Hub {
	return &Hub{nodes: make(map[fleet.VM]*Node), cut: make(map[link]bool), delay: delay, slow: make(map[fleet.VM]time.Duration)}
}

// Delay sets the delay of control messages that are sent to a router from now on. They
// keep their order.
func (h *Hub) Delay(to fleet.VM, delay time.Duration) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.slow[to] = delay
}

// delayTo returns the delay of messages to a router.
func (h *Hub) delayTo(to fleet.VM) time.Duration {
	h.mu.Lock()
	defer h.mu.Unlock()
	if delay, ok := h.slow[to]; ok {
		return delay
	}
	return h.delay
}

// Cut stops (or restores) the messages in both directions between two
// routers.
func (h *Hub) Cut(a, b fleet.VM, cut bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.cut[link{a, b}], h.cut[link{b, a}] = cut, cut
}

// Isolate cuts (or restores) all links of a router.
func (h *Hub) Isolate(vm fleet.VM, cut bool) {
	for _, other := range h.names() {
		if other != vm {
			h.Cut(vm, other, cut)
		}
	}
}

func (h *Hub) names() []fleet.VM {
	h.mu.Lock()
	defer h.mu.Unlock()
	var out []fleet.VM
	for vm := range h.nodes {
		out = append(out, vm)
	}
	return out
}

// Join adds a router and delivers its messages until ctx ends. A router of the
// same name that joined before is replaced.
func (h *Hub) Join(ctx context.Context, vm fleet.VM) *Node {
	n := &Node{
		hub:     h,
		vm:      vm,
		inbox:   make(chan message, queueLength),
		control: make(map[peer.Kind]peer.ControlHandler),
		queries: make(map[peer.Kind]peer.QueryHandler),
		calls:   make(map[peer.Kind]peer.CallHandler),
		traffic: make(map[peer.Kind]peer.Traffic),
	}
	h.mu.Lock()
	h.nodes[vm] = n
	h.mu.Unlock()
	go n.deliver(ctx)
	return n
}

// node returns the router at the end of a link that is not cut.
func (h *Hub) node(from, to fleet.VM) (*Node, error) {
	h.mu.Lock()
	defer h.mu.Unlock()
	n, ok := h.nodes[to]
	if !ok || h.cut[link{from, to}] {
		return nil, &call.Error{Code: call.CodeUnavailable, Step: "peer", Peer: string(to), Run: call.RunNot, Message: "not connected"}
	}
	return n, nil
}

// Node is the transport of one router.
type Node struct {
	hub   *Hub
	vm    fleet.VM
	inbox chan message

	mu      sync.Mutex
	control map[peer.Kind]peer.ControlHandler
	queries map[peer.Kind]peer.QueryHandler
	calls   map[peer.Kind]peer.CallHandler
	traffic map[peer.Kind]peer.Traffic
}

type message struct {
	from    fleet.VM
	kind    peer.Kind
	payload []byte
	at      time.Time
}

// Name returns the name of the service that this one stands for.
func (*Node) Name() string { return peer.Name }

func (n *Node) deliver(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case m := <-n.inbox:
			if (kernel.SystemClock{}).Sleep(ctx, time.Until(m.at)) != nil {
				return
			}
			if h := n.handler(m.kind); h != nil {
				h(m.from, m.payload)
			}
		}
	}
}

func (n *Node) handler(kind peer.Kind) peer.ControlHandler {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.control[kind]
}

// Send queues a control message.
func (n *Node) Send(to fleet.VM, kind peer.Kind, payload []byte) error {
	other, err := n.hub.node(n.vm, to)
	if err != nil {
		return err
	}
	n.mu.Lock()
	t := n.traffic[kind]
	t.Sent += uint64(len(payload))
	n.traffic[kind] = t
	n.mu.Unlock()
	m := message{from: n.vm, kind: kind, payload: payload, at: time.Now().Add(n.hub.delayTo(to))}
	select {
	case other.inbox <- m:
		return nil
	default:
		return &call.Error{Code: call.CodeOverloaded, Step: "peer", Peer: string(to), Run: call.RunNot, Message: "queue is full"}
	}
}

// HandleControl adds a handler.
func (n *Node) HandleControl(kind peer.Kind, h peer.ControlHandler) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.control[kind] = h
}

// Query asks another router.
func (n *Node) Query(ctx context.Context, to fleet.VM, kind peer.Kind, payload []byte) ([]byte, error) {
	other, err := n.hub.node(n.vm, to)
	if err != nil {
		return nil, err
	}
	if err := (kernel.SystemClock{}).Sleep(ctx, n.hub.delay); err != nil {
		return nil, err
	}
	return other.queries[kind](ctx, n.vm, payload)
}

// HandleQuery adds a handler.
func (n *Node) HandleQuery(kind peer.Kind, h peer.QueryHandler) { n.queries[kind] = h }

// Call runs a request on another router.
func (n *Node) Call(ctx context.Context, to fleet.VM, kind peer.Kind, req *call.Request, sink call.Sink) error {
	other, err := n.hub.node(n.vm, to)
	if err != nil {
		return err
	}
	if err := (kernel.SystemClock{}).Sleep(ctx, n.hub.delay); err != nil {
		return err
	}
	copied := *req
	return other.calls[kind](ctx, n.vm, &copied, sink)
}

// HandleCall adds a handler.
func (n *Node) HandleCall(kind peer.Kind, h peer.CallHandler) { n.calls[kind] = h }

// SetPeers does nothing: the hub knows all routers.
func (*Node) SetPeers([]fleet.VMInfo) {}

// Traffic returns the bytes that were sent by kind.
func (n *Node) Traffic() map[peer.Kind]peer.Traffic {
	n.mu.Lock()
	defer n.mu.Unlock()
	out := make(map[peer.Kind]peer.Traffic, len(n.traffic))
	for kind, t := range n.traffic {
		out[kind] = t
	}
	return out
}

// Interface guard.
var _ peer.Peers = (*Node)(nil)
