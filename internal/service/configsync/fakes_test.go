package configsync_test

import (
	"context"
	"io"
	"slices"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"github.com/sirupsen/logrus"

	"github.com/zinniafork/zinniafork/internal/call"
	"github.com/zinniafork/zinniafork/internal/config"
	"github.com/zinniafork/zinniafork/internal/fleet"
	"github.com/zinniafork/zinniafork/internal/kernel"
	"github.com/zinniafork/zinniafork/internal/service/configsync"
	"github.com/zinniafork/zinniafork/internal/service/members"
	"github.com/zinniafork/zinniafork/internal/service/peer"
	"github.com/zinniafork/zinniafork/internal/service/servicetest"
)

// node is one router with its configuration service and fake members and peers.
type node struct {
	*configsync.Service
	vm           fleet.VM
	net          *network
	log          *servicetest.LogClient
	exts         []members.Extension
	queryHandler peer.QueryHandler
	// cut disconnects the node from all peers.
	cut       atomic.Bool
	appliedMu sync.Mutex
	applied   []uint64
	stop      context.CancelFunc
}

// network holds the nodes and transports their heartbeats and queries.
type network struct {
	t      *testing.T
	stream *servicetest.Log
	ctx    context.Context
	mu     sync.Mutex
	nodes  []*node
}

// testRetention is the retention of the log in the tests.
const testRetention = 8 * time.Minute

// fixedSettings sets testRetention and leaves the other settings at their defaults.
type fixedSettings struct{}

func (fixedSettings) Section(name string, dst any) error {
	if s, ok := dst.(*configsync.Settings); ok && name == configsync.Name {
		s.Retention = config.Duration(testRetention)
	}
	return nil
}

// newNetwork returns a network without nodes that exchanges heartbeats until the test
// ends.
func newNetwork(t *testing.T) *network {
	ctx, cancel := context.WithCancel(context.Background())
	t.Cleanup(cancel)
	n := &network{t: t, stream: servicetest.NewLog(), ctx: ctx}
	go kernel.Every(ctx, kernel.SystemClock{}, 500*time.Millisecond, func(time.Time) { n.exchangeHeartbeats() })
	return n
}

// boot starts a router whose connection to the log has the given faults.
func (n *network) boot(vm fleet.VM, faults servicetest.LogFaults) *node {
	nd := &node{vm: vm, net: n, log: servicetest.NewLogClient(n.stream, faults)}
	logger := logrus.New()
	logger.SetOutput(io.Discard)
	k := kernel.New(kernel.Env{Log: logger}, fixedSettings{}, nil)
	for _, s := range []kernel.Service{nd.log, fakeMembers{nd}, fakePeers{nd}} {
		must.NoError(n.t, k.Use(s))
	}
	must.NoError(n.t, k.Provision(configsync.Name))
	var err error
	nd.Service, err = kernel.Find[*configsync.Service](k, configsync.Name)
	must.NoError(n.t, err)
	nd.Watch(nd.recordApplied)
	ctx, cancel := context.WithCancel(n.ctx)
	nd.stop = cancel
	must.NoError(n.t, k.Start(ctx))
	n.mu.Lock()
	defer n.mu.Unlock()
	n.nodes = append(n.nodes, nd)
	return nd
}

// recordApplied records the offset of a configuration that the watcher received.
func (nd *node) recordApplied(e *config.Effective) {
	nd.appliedMu.Lock()
	defer nd.appliedMu.Unlock()
	nd.applied = append(nd.applied, e.Offset)
}

// appliedOlder reports whether the node ever applied an older version after a newer
// one.
func (nd *node) appliedOlder() bool {
	nd.appliedMu.Lock()
	defer nd.appliedMu.Unlock()
	return !slices.IsSorted(nd.applied)
}

func (n *network) all() []*node {
	n.mu.Lock()
	defer n.mu.Unlock()
	return append([]*node(nil), n.nodes...)
}

// stopAll stops all routers and removes them from the network.
func (n *network) stopAll() {
	n.mu.Lock()
	defer n.mu.Unlock()
	for _, nd := range n.nodes {
		nd.stop()
	}
	n.nodes = nil
}

// exchangeHeartbeats delivers one heartbeat between each pair of connected nodes.
func (n *network) exchangeHeartbeats() {
	for _, from := range n.all() {
		for _, to := range n.all() {
			if from == to || from.cut.Load() || to.cut.Load() {
				continue
			}
			for i, ext := range from.exts {
				if part := ext.Produce(to.vm); part != nil {
					to.exts[i].Consume(from.vm, part)
				}
			}
		}
	}
}

// fakeMembers is the membership of a node: all nodes of the network are alive.
type fakeMembers struct{ nd *node }

func (f fakeMembers) Name() string                   { return members.Name }
func (f fakeMembers) Self() fleet.VMInfo             { return fleet.VMInfo{VM: f.nd.vm, Site: "gent"} }
func (f fakeMembers) Incarnation() fleet.Incarnation { return 1 }
func (f fakeMembers) Watch(func(*members.Snapshot))  {}
func (f fakeMembers) Attach(e members.Extension)     { f.nd.exts = append(f.nd.exts, e) }
func (f fakeMembers) SendHeartbeats()                {}
func (f fakeMembers) Leave()                         {}
func (f fakeMembers) SetControl(config.Control)      {}

func (f fakeMembers) Snapshot() *members.Snapshot {
	out := &members.Snapshot{}
	for _, nd := range f.nd.net.all() {
		m := members.Member{Status: members.StateAlive}
		m.VM = nd.vm
		out.Members = append(out.Members, m)
	}
	return out
}

// fakePeers delivers the queries of a node to the other nodes.
type fakePeers struct{ nd *node }

func (f fakePeers) Name() string                                 { return peer.Name }
func (f fakePeers) Send(fleet.VM, peer.Kind, []byte) error       { return nil }
func (f fakePeers) HandleControl(peer.Kind, peer.ControlHandler) {}
func (f fakePeers) HandleCall(peer.Kind, peer.CallHandler)       {}
func (f fakePeers) SetPeers([]fleet.VMInfo)                      {}
func (f fakePeers) Traffic() map[peer.Kind]peer.Traffic          { return nil }
func (f fakePeers) HandleQuery(_ peer.Kind, h peer.QueryHandler) { f.nd.queryHandler = h }
func (f fakePeers) Call(context.Context, fleet.VM, peer.Kind, *call.Request, call.Sink) error {
	return &call.Error{Code: call.CodeUnavailable, Run: call.RunNot}
}

func (f fakePeers) Query(ctx context.Context, to fleet.VM, _ peer.Kind, payload []byte) ([]byte, error) {
	for _, nd := range f.nd.net.all() {
		if nd.vm == to && !nd.cut.Load() && !f.nd.cut.Load() {
			return nd.queryHandler(ctx, f.nd.vm, payload)
		}
	}
	return nil, &call.Error{Code: call.CodeUnavailable, Run: call.RunNot, Peer: string(to)}
}
