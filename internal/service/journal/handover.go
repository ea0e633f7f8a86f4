package journal

import (
	"context"
	"slices"

	"github.com/zinniafork/zinniafork/internal/core/orders"
	"github.com/zinniafork/zinniafork/internal/fleet"
)

// handOverRecords is the number of records in one message to another router.
const handOverRecords = 128

// handOver gives the records that the log does not take to other routers, so
// that they outlive this process.
func (s *Service) handOver(ctx context.Context) {
	for _, p := range s.allPartitions() {
		backlog := p.stranded()
		if len(backlog) == 0 {
			continue
		}
		for _, vm := range s.others(p.number) {
			if s.give(ctx, vm, p.number, backlog) {
				p.setHandedOver()
				s.logger.WithField("peer", vm).Info("Records handed over.")
				break
			}
		}
	}
}

// give sends the records to the router vm and reports whether it took all.
func (s *Service) give(ctx context.Context, vm fleet.VM, n int, backlog []orders.Record) bool {
	for part := range slices.Chunk(backlog, handOverRecords) {
		if _, err := s.ask(ctx, vm, query{Op: opAdopt, Partition: n, Records: part}); err != nil {
			s.logger.WithError(err).WithField("peer", vm).Warn("Records not handed over.")
			return false
		}
	}
	return true
}

// stranded returns the records that can't be appended, once nothing runs any
// more that would add to them.
func (p *partition) stranded() []orders.Record {
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
