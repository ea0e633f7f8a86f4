package testbed

import (
	"github.com/zinniafork/zinniafork/internal/fleet"
	"github.com/zinniafork/zinniafork/internal/kernel"
	"github.com/zinniafork/zinniafork/internal/service/peer"
)

// Kinds of control traffic that don't go between routers.
const (
	KindLog    = "log"
	KindVMList = "vm-list"
)

// Count holds what the routers of a testbed have sent and received so far.
type Count struct {
	// Control holds the bytes of all routers by kind, both directions.
	Control map[string]float64
	// Busiest is the total of the busiest router; of a difference, that of
	// the router with the largest one.
	Busiest float64
	// Appends and Reads are calls of the log service, AppendBytes the bytes
	// of the append calls.
	Appends, Reads, AppendBytes uint64
	// Messages counts what the routers wrote to each other, to the log
	// service and to the VM list.
	Messages uint64

	byVM map[fleet.VM]float64
}

// Count returns the traffic up to now.
func (b *Testbed) Count() Count {
	out := Count{Control: make(map[string]float64), byVM: make(map[fleet.VM]float64)}
	out.Appends, out.Reads, out.AppendBytes = b.logFaults.counts()
	for _, r := range b.allRouters() {
		k, _ := r.running()
		if k == nil {
			continue
		}
		out.Messages += r.messages()
		for kind, bytes := range r.controlByKind(k) {
			out.Control[kind] += bytes
			out.byVM[r.vm.Name] += bytes
		}
	}
	return out
}

// Since returns what was added after an earlier count.
func (c Count) Since(before Count) Count {
	out := Count{
		Control:     make(map[string]float64),
		Appends:     c.Appends - before.Appends,
		Reads:       c.Reads - before.Reads,
		AppendBytes: c.AppendBytes - before.AppendBytes,
		Messages:    c.Messages - before.Messages,
		byVM:        make(map[fleet.VM]float64),
	}
	for kind, bytes := range c.Control {
		out.Control[kind] = bytes - before.Control[kind]
	}
	for vm, bytes := range c.byVM {
		out.byVM[vm] = bytes - before.byVM[vm]
		out.Busiest = max(out.Busiest, out.byVM[vm])
	}
	return out
}

// controlKinds are the kinds of peer messages that are no caller's work.
var controlKinds = []peer.Kind{
	peer.KindHeartbeat,
	peer.KindLease,
	peer.KindConfig,
	peer.KindFigures,
	peer.KindOrders,
}

// controlByKind returns the control traffic of a router since its start, both
// directions: control messages between routers, and everything to and from
// the log service and the VM list.
func (r *router) controlByKind(k *kernel.Kernel) map[string]float64 {
	out := make(map[string]float64)
	if p, err := kernel.Find[peer.Peers](k, peer.Name); err == nil {
		traffic := p.Traffic()
		for _, kind := range controlKinds {
			out[string(kind)] = float64(traffic[kind].Sent + traffic[kind].Received)
		}
	}
	for name, bytes := range r.currentHost().Traffic() {
		switch name {
		case LogHost:
			out[KindLog] = float64(bytes.Sent + bytes.Received)
		case r.listHost():
			out[KindVMList] = float64(bytes.Sent + bytes.Received)
		}
	}
	return out
}

// messages counts the router's writes to all but callers and targets.
func (r *router) messages() uint64 {
	var total uint64
	for name, bytes := range r.currentHost().Traffic() {
		_, err := r.bed.router(fleet.VM(name))
		if err == nil || name == LogHost || name == r.listHost() {
			total += bytes.Writes
		}
	}
	return total
}

func (r *router) controlBytes(k *kernel.Kernel) float64 {
	total := 0.0
	for _, bytes := range r.controlByKind(k) {
		total += bytes
	}
	return total
}
