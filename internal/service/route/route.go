// Package route takes one request of a caller to a target that can bear it
// and brings the answer back.
//
// The entry router ranks the targets and calls the owner of the first. The
// owner runs the request, lets it wait, or refuses it, perhaps with the name of
// a better target. Nothing that was refused has run, so the entry router may
// go on to the next.
package route

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"

	"github.com/sirupsen/logrus"

	"github.com/zinniafork/zinniafork/internal/call"
	"github.com/zinniafork/zinniafork/internal/config"
	"github.com/zinniafork/zinniafork/internal/core/placement"
	"github.com/zinniafork/zinniafork/internal/core/retry"
	"github.com/zinniafork/zinniafork/internal/fleet"
	"github.com/zinniafork/zinniafork/internal/kernel"
	"github.com/zinniafork/zinniafork/internal/service/configsync"
	"github.com/zinniafork/zinniafork/internal/service/identity"
	"github.com/zinniafork/zinniafork/internal/service/owner"
	"github.com/zinniafork/zinniafork/internal/service/peer"
)

// Name is the service's name in the kernel.
const Name = "route"

func init() {
	kernel.Register(Name, func() kernel.Service { return &Service{settings: DefaultSettings()} })
}

// Router runs requests on targets.
type Router interface {
	// Run places the request, runs it and passes the answer to sink. A
	// non-nil error is a *call.Error. A request that is not repeatable is
	// sent to at most one target.
	Run(ctx context.Context, req *call.Request, sink call.Sink) error
}

// Settings are the process settings of routing.
type Settings struct {
	// Policy names the placement policy.
	Policy string `toml:"policy"`
}

// DefaultSettings returns the settings of a process that sets none.
func DefaultSettings() Settings { return Settings{Policy: placement.DefaultPolicy} }

// targets is what routing needs of the owner service beside ownership.
type targets interface {
	owner.Admitter
	owner.Readiness
}

// Service routes requests.
type Service struct {
	settings Settings
	config   configsync.Source
	owners   owner.Ownership
	targets  targets
	peers    peer.Peers
	clock    kernel.Clock
	logger   *logrus.Entry
	meters   *meters
	self     fleet.VM
	rules    placement.Rules

	mu       sync.Mutex
	policy   placement.Policy
	random   *rand.Rand
	accounts *retry.Budgets[fleet.Account]
	byTarget *retry.Budgets[fleet.Target]
}

// Name returns the service's name.
func (*Service) Name() string { return Name }

// Provision reads the settings and looks up owners and peers.
func (s *Service) Provision(c *kernel.Context) error {
	if err := c.Settings(&s.settings); err != nil {
		return err
	}
	if err := s.lookUp(c); err != nil {
		return err
	}
	s.clock, s.logger = c.Clock, c.Logger()
	s.meters = newMeters(c.Metrics)
	s.random = rand.New(rand.NewPCG(c.Seed, uint64(len(s.self))))
	policy, err := placement.New(s.settings.Policy, s.random)
	if err != nil {
		return fmt.Errorf("[%s]: %w", Name, err)
	}
	s.policy, s.rules = policy, policy.Rules()
	s.targets.SetRules(s.rules)
	defaults := config.Defaults().Retry
	s.accounts = retry.NewBudgets[fleet.Account](defaults.AccountRatio)
	s.byTarget = retry.NewBudgets[fleet.Target](defaults.TargetRatio)
	s.config.Watch(s.configure)
	s.peers.HandleCall(peer.KindRun, s.serve)
	return nil
}

func (s *Service) lookUp(c *kernel.Context) error {
	var err error
	if s.config, err = kernel.Lookup[configsync.Source](c, configsync.Name); err != nil {
		return err
	}
	if s.owners, err = kernel.Lookup[owner.Ownership](c, owner.Name); err != nil {
		return err
	}
	if s.targets, err = kernel.Lookup[targets](c, owner.Name); err != nil {
		return err
	}
	if s.peers, err = kernel.Lookup[peer.Peers](c, peer.Name); err != nil {
		return err
	}
	id, err := kernel.Lookup[identity.Identity](c, identity.Name)
	if err != nil {
		return err
	}
	s.self = id.Self().VM
	return nil
}

// OwnersKnown reports whether the owners of targets are known.
func (s *Service) OwnersKnown() bool { return s.targets.OwnersKnown() }

// FirstOwner returns the owner of the target that the request would try first.
func (s *Service) FirstOwner(req *call.Request) (fleet.VM, bool) {
	r := s.rank(req)
	if len(r.order) == 0 {
		return "", false
	}
	return s.owners.Owner(targetResource(r.place(0)))
}

func (s *Service) configure(c *config.Effective) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.accounts.SetRatio(c.Retry.AccountRatio)
	s.byTarget.SetRatio(c.Retry.TargetRatio)
}

// Interface guards.
var (
	_ Router             = (*Service)(nil)
	_ kernel.Provisioner = (*Service)(nil)
)
