package figures

import (
	"context"
	"encoding/json"
	"slices"
	"sync"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/zinniafork/zinniafork/internal/config"
	"github.com/zinniafork/zinniafork/internal/core/usage"
	"github.com/zinniafork/zinniafork/internal/fleet"
	"github.com/zinniafork/zinniafork/internal/kernel"
	"github.com/zinniafork/zinniafork/internal/platform/logstream"
	"github.com/zinniafork/zinniafork/internal/service/configsync"
	"github.com/zinniafork/zinniafork/internal/service/members"
	"github.com/zinniafork/zinniafork/internal/service/peer"
	"github.com/zinniafork/zinniafork/internal/service/platform"
)

const (
	// staleSums is the number of periods after which a child's sums no longer
	// count.
	staleSums = 3
	// publishPeriods is the number of periods between two summaries.
	publishPeriods = 2
	appendLimit    = 3 * time.Second
	// readBack is the number of records in which each site's newest summary
	// is looked for, and readAgain the time for which it is not read again.
	readBack  = 32
	readAgain = 500 * time.Millisecond
	// changeDelay is the time after a new configuration at which a small site
	// says how far it has spread.
	changeDelay = 500 * time.Millisecond
)

func init() {
	kernel.Register(Name, func() kernel.Service { return new(Service) })
}

// Service counts and sums up.
type Service struct {
	log     logstream.Log
	members members.Membership
	peers   peer.Peers
	config  configsync.Config
	clock   kernel.Clock
	logger  *logrus.Entry

	failures *failures

	mu       sync.Mutex
	ring     usage.Ring
	children map[fleet.VM]report
	known    map[fleet.Site]Summary
	readAt   time.Time

	// changed holds a signal after a new configuration.
	changed chan struct{}
}

// Name returns the service's name.
func (*Service) Name() string { return Name }

// Provision looks up the log, the members and the configuration.
func (s *Service) Provision(c *kernel.Context) error {
	p, err := kernel.Lookup[platform.Platform](c, platform.Name)
	if err != nil {
		return err
	}
	if s.members, err = kernel.Lookup[members.Membership](c, members.Name); err != nil {
		return err
	}
	if s.peers, err = kernel.Lookup[peer.Peers](c, peer.Name); err != nil {
		return err
	}
	if s.config, err = kernel.Lookup[configsync.Config](c, configsync.Name); err != nil {
		return err
	}
	s.log, s.clock, s.logger = p.Log(), c.Clock, c.Logger()
	s.children = make(map[fleet.VM]report)
	s.known = make(map[fleet.Site]Summary)
	s.failures = newFailures()
	s.changed = make(chan struct{}, 1)
	s.config.Watch(s.noteChange)
	s.peers.HandleControl(peer.KindFigures, s.hear)
	return nil
}

// Start passes sums on in the background.
func (s *Service) Start(ctx context.Context) error {
	go s.run(ctx)
	return nil
}

// Record counts one finished request.
func (s *Service) Record(sample Sample) {
	id := usage.ID{Member: sample.Member, Account: sample.Account}
	now := s.clock.Now()
	s.failures.note(now, &sample)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.ring.Add(now, id, sampleCounts(sample))
}

// Local returns the sums that this router knows.
func (s *Service) Local() []Figure { return s.sums(s.clock.Now()).figures }

func (s *Service) sums(now time.Time) report {
	place := s.place()
	s.mu.Lock()
	defer s.mu.Unlock()
	totals := s.ring.Sum(now)
	out := report{routers: 1}
	for vm, child := range s.children {
		if now.Sub(child.at) > staleSums*place.Period {
			delete(s.children, vm)
			continue
		}
		totals.Merge(child.figures)
		out.routers += child.routers
	}
	out.figures = totals.Entries()
	return out
}

func (s *Service) live() []fleet.VM {
	var out []fleet.VM
	self := s.members.Self()
	for _, m := range s.members.Snapshot().Members {
		if m.VM == self.VM || m.Status == members.StateAlive {
			out = append(out, m.VM)
		}
	}
	slices.Sort(out)
	return out
}

func (s *Service) place() usage.TreePosition {
	return usage.TreePositionOf(s.members.Self().VM, s.live())
}

// hear takes the sums of a child.
func (s *Service) hear(from fleet.VM, payload []byte) {
	r, err := decodeSums(payload, s.config.Current(), s.clock.Now())
	if err != nil {
		s.logger.WithError(err).WithField("peer", from).Warn("Sums rejected.")
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.children[from] = r
}

// noteChange asks for an early summary, so that others see the version in
// force here soon.
func (s *Service) noteChange(*config.Effective) {
	select {
	case s.changed <- struct{}{}:
	default:
	}
}

func (s *Service) run(ctx context.Context) {
	for turn := 0; ; turn++ {
		early, err := s.wait(ctx, s.place().Period)
		if err != nil {
			return
		}
		place := s.place()
		if early && (!place.Root || !place.SmallSite) {
			continue
		}
		if early {
			turn = 0
		}
		s.pass(ctx, place, turn)
	}
}

// wait waits for the period, or until shortly after a new configuration.
func (s *Service) wait(ctx context.Context, period time.Duration) (early bool, err error) {
	over := make(chan struct{})
	defer s.clock.AfterFunc(period, func() { close(over) })()
	select {
	case <-ctx.Done():
		return false, ctx.Err()
	case <-over:
		return false, nil
	case <-s.changed:
		return true, s.clock.Sleep(ctx, changeDelay)
	}
}

// pass gives the sums to the parent; the root publishes them.
func (s *Service) pass(ctx context.Context, place usage.TreePosition, turn int) {
	sums := s.sums(s.clock.Now())
	if !place.Root {
		payload := EncodeSums(sums.figures, sums.routers)
		if err := s.peers.Send(place.Parent, peer.KindFigures, payload); err != nil {
			s.logger.WithError(err).WithField("peer", place.Parent).Debug("Cannot pass sums on.")
		}
		return
	}
	if turn%publishPeriods == 0 {
		s.publish(ctx, sums)
	}
}

func (s *Service) publish(ctx context.Context, sums report) {
	summary, ok := s.summary(ctx, sums)
	if !ok {
		return
	}
	s.mu.Lock()
	s.known[summary.Site] = summary
	s.mu.Unlock()
	data, err := json.Marshal(summary)
	if err != nil {
		return
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	defer s.clock.AfterFunc(appendLimit, cancel)()
	if _, err := s.log.Append(ctx, Stream, data); err != nil {
		s.logger.WithError(err).Warn("Cannot append the site's summary.")
	}
}

func (s *Service) summary(ctx context.Context, sums report) (Summary, bool) {
	e := s.config.Current()
	if e == nil {
		return Summary{}, false
	}
	self, live := s.members.Self(), s.live()
	out := Summary{
		Site:      self.Site,
		VM:        self.VM,
		At:        s.clock.Now().UTC(),
		RulesHash: e.RulesHash(),
		Routers:   len(live),
		Missing:   max(0, len(live)-sums.routers),
		Accounts:  sums.figures,
	}
	out.Version.Offset, out.Version.Hash = e.Offset, e.Hash
	for _, r := range s.config.Status(ctx).Routers {
		if r.InForce != out.Version {
			out.Lagging = append(out.Lagging, r.VM)
		}
	}
	return out, true
}

// Interface guards.
var (
	_ Recorder           = (*Service)(nil)
	_ Reader             = (*Service)(nil)
	_ kernel.Provisioner = (*Service)(nil)
	_ kernel.Starter     = (*Service)(nil)
)
