package journal

import (
	"context"
	"slices"

	"github.com/zinniafork/zinniafork/internal/core/orders"
	"github.com/zinniafork/zinniafork/internal/fleet"
)

// maxHandOverRecords is the maximum number of records in one message to
// another router.
const maxHandOverRecords = 128

// handOver sends the records that the unavailable log did not take to another
// live router, so that they survive the stop of this process.
func (s *Service) handOver(ctx context.Context) {
	for _, p := range s.allPartitions() {
		backlog := p.handOverBacklog()
		if len(backlog) == 0 {
			continue
		}
		for _, vm := range s.otherRouters(p.number) {
			if s.sendBacklog(ctx, vm, p.number, backlog) {
				p.setHandedOver()
				s.logger.WithField("peer", vm).Info("Order records handed over.")
				break
			}
		}
	}
}

// sendBacklog sends the records of partition n to a router and reports whether
// it took all of them.
func (s *Service) sendBacklog(ctx context.Context, vm fleet.VM, n int, backlog []orders.Record) bool {
	for batch := range slices.Chunk(backlog, maxHandOverRecords) {
		if _, err := s.queryRouter(ctx, vm, query{Op: opAdopt, Partition: n, Records: batch}); err != nil {
			s.logger.WithError(err).WithField("peer", vm).Warn("Order records not handed over.")
			return false
		}
	}
	return true
}

// handOverBacklog returns the records to hand over to another router. There
// are none while the log is available, while an order that may add records is
// active, or once another router has taken them.
func (p *partition) handOverBacklog() []orders.Record {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.handedOver || !p.machine.LogUnavailable() || !p.machine.NoActiveOrders() {
		return nil
	}
	return p.machine.Backlog()
}

func (p *partition) setHandedOver() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.handedOver = true
}
