package forward

import (
	"context"
	"time"

	"github.com/zinniafork/zinniafork/internal/core/balance"
	"github.com/zinniafork/zinniafork/internal/core/hubs"
	"github.com/zinniafork/zinniafork/internal/core/outlier"
	"github.com/zinniafork/zinniafork/internal/fleet"
	"github.com/zinniafork/zinniafork/internal/service/peer"
	"github.com/zinniafork/zinniafork/internal/wire"
)

// digest is what one router tells another of the work at targets. Lists of
// numbers keep it small.
type digest struct {
	// Sum is true when the loads are those of all routers.
	Sum bool `msgpack:"s,omitempty"`
	// Loads holds pairs of target and running requests.
	Loads []uint32 `msgpack:"l,omitempty"`
	// Prompts holds pairs of prompt and target.
	Prompts []uint64 `msgpack:"p,omitempty"`
	// Outcomes holds triples of target, good and failed requests.
	Outcomes []uint32 `msgpack:"o,omitempty"`
}

// outbox is news of other routers that a hub passes on.
type outbox struct {
	prompts  []balance.Placement
	outcomes map[fleet.Ref]outlier.Count
}

func (o *outbox) add(prompts []balance.Placement, outcomes map[fleet.Ref]outlier.Count) {
	o.prompts = append(o.prompts, prompts...)
	if o.outcomes == nil {
		o.outcomes = make(map[fleet.Ref]outlier.Count)
	}
	for id, c := range outcomes {
		sum := o.outcomes[id]
		o.outcomes[id] = outlier.Count{OK: sum.OK + c.OK, Failed: sum.Failed + c.Failed}
	}
}

func (o *outbox) take() outbox {
	out := *o
	*o = outbox{}
	return out
}

func newDigest(loads []balance.Load, news outbox) *digest {
	d := new(digest)
	for _, l := range loads {
		d.Loads = append(d.Loads, uint32(l.Target), l.Running)
	}
	for _, p := range news.prompts {
		d.Prompts = append(d.Prompts, p.Prompt, uint64(p.Target))
	}
	for id, c := range news.outcomes {
		d.Outcomes = append(d.Outcomes, uint32(id), uint32(c.OK), uint32(c.Failed))
	}
	return d
}

func (d *digest) loads() []balance.Load {
	out := make([]balance.Load, 0, len(d.Loads)/2)
	for i := 0; i+1 < len(d.Loads); i += 2 {
		out = append(out, balance.Load{Target: fleet.Ref(d.Loads[i]), Running: d.Loads[i+1]})
	}
	return out
}

func (d *digest) prompts() []balance.Placement {
	out := make([]balance.Placement, 0, len(d.Prompts)/2)
	for i := 0; i+1 < len(d.Prompts); i += 2 {
		out = append(out, balance.Placement{Prompt: d.Prompts[i], Target: fleet.Ref(d.Prompts[i+1])})
	}
	return out
}

func (d *digest) outcomes() map[fleet.Ref]outlier.Count {
	out := make(map[fleet.Ref]outlier.Count, len(d.Outcomes)/3)
	for i := 0; i+2 < len(d.Outcomes); i += 3 {
		out[fleet.Ref(d.Outcomes[i])] = outlier.Count{OK: int(d.Outcomes[i+1]), Failed: int(d.Outcomes[i+2])}
	}
	return out
}

// tellLoad sends this router's digests whenever one is due, until ctx ends.
func (s *Service) tellLoad(ctx context.Context) {
	for {
		s.mu.Lock()
		wait := s.beat.Next().Sub(s.clock.Now())
		s.mu.Unlock()
		stop := s.clock.AfterFunc(wait, s.wakeBeat)
		select {
		case <-ctx.Done():
			stop()
			return
		case <-s.beatMoved:
			stop()
		}
		s.tellDue()
	}
}

// wakeBeat makes tellLoad look for what is due.
func (s *Service) wakeBeat() {
	select {
	case s.beatMoved <- struct{}{}:
	default: // it will look anyway
	}
}

// tellDue sends the digests that are due: in a mesh this router's own to all;
// a member's to its hub; a hub's sum of its data centre to the other hubs, and
// the sum of all to its members.
func (s *Service) tellDue() {
	s.mu.Lock()
	now, tree := s.clock.Now(), s.tree.Load()
	due := s.beat.Take(now)
	var own, all *digest
	if due.Own {
		own = s.ownDigest(now, tree)
	}
	if due.Sum {
		all = newDigest(s.balancer.Sum(append(tree.Hubs(), tree.Members()...)), s.toMembers.take())
		all.Sum = true
	}
	s.mu.Unlock()
	switch {
	case own == nil:
	case tree.IsHub():
		s.sendDigest(own, tree.Hubs())
	default:
		s.sendDigest(own, tree.Next(""))
	}
	if all != nil {
		s.sendDigest(all, tree.Members())
	}
}

// ownDigest returns what this router tells now, as a hub of its data centre,
// and nil while it knows no other router: its news waits for one. The caller
// holds the lock.
func (s *Service) ownDigest(now time.Time, tree *hubs.Tree) *digest {
	loads := s.balancer.Own(now)
	if len(tree.Next("")) == 0 {
		return nil
	}
	news := outbox{prompts: s.balancer.TakeNews(), outcomes: s.outliers.TakeOwn()}
	if !tree.IsHub() {
		return newDigest(loads, news)
	}
	s.toMembers.add(news.prompts, news.outcomes)
	s.toHubs.add(news.prompts, news.outcomes)
	return newDigest(s.balancer.Sum(tree.Members()), s.toHubs.take())
}

func (s *Service) sendDigest(d *digest, to []fleet.VM) {
	payload, err := wire.Marshal(d)
	if err != nil {
		s.logger.WithError(err).Error("Cannot encode a load digest.")
		return
	}
	for _, vm := range to {
		if err := s.peers.Send(vm, peer.KindLoad, payload); err != nil {
			s.logger.WithError(err).WithField("peer", vm).Debug("Load digest not sent.")
		}
	}
}

// hear takes another router's digest.
func (s *Service) hear(from fleet.VM, payload []byte) {
	var d digest
	if err := wire.Unmarshal(payload, &d); err != nil {
		s.logger.WithError(err).WithField("peer", from).Warn("Load digest dropped.")
		return
	}
	prompts, outcomes := d.prompts(), d.outcomes()
	tree := s.tree.Load()
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.clock.Now()
	if d.Sum {
		s.balancer.HearSum(now, from, d.loads())
	} else {
		s.balancer.Hear(now, from, d.loads())
	}
	if s.beat.Heard(now, from) {
		s.wakeBeat()
	}
	s.balancer.Learn(now, prompts)
	for id, count := range outcomes {
		if s.outliers.Hear(now, id, count) {
			s.logger.WithField("target", s.names[id]).WithField("from", from).Info("Target is out after failures.")
		}
	}
	if tree.IsHub() {
		s.toMembers.add(prompts, outcomes)
		if !tree.Hub(from) {
			s.toHubs.add(prompts, outcomes)
		}
	}
}
