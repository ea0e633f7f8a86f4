// Package route routes each request of a caller to a target that has room for it
// and passes the response back.
//
// The entry router, which received the request, ranks the targets and calls the
// owner of the first one. The owner runs the request, queues it, or refuses it and
// may name a better target. A refused request has not run, so the entry router can
// try the next target, and queues the request at the target with the shortest wait
// when all of them are full.
//
// If an owner or a target fails while a request runs, the request is retried only
// if it is repeatable, within the retry budgets of its account and target. A
// response that has started is resumed, or joined with that of another run.
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

// Name is the name under which the service is registered in the kernel.
const Name = "route"

func init() {
	kernel.Register(Name, func() kernel.Service { return &Service{settings: DefaultSettings()} })
}

// Router runs requests on targets.
type Router interface {
	// Run chooses a target for the request, runs the request there and passes the
	// response to sink. A non-nil error is a *call.Error. A request that is not
	// repeatable is sent to at most one target.
	Run(ctx context.Context, req *call.Request, sink call.Sink) error
}

// Settings holds the process settings of the route service.
type Settings struct {
	// Policy is the name of the placement policy.
	Policy string `toml:"policy"`
}

// DefaultSettings returns the settings that apply if a process sets none.
func DefaultSettings() Settings { return Settings{Policy: placement.DefaultPolicy} }

// targets is the part of the owner service, besides ownership, that routing uses.
type targets interface {
	owner.Admitter
	owner.Readiness
}

// Service implements Router. It also runs the requests that other routers send for
// targets of this router.
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

	// mu guards the fields below.
	mu             sync.Mutex
	policy         placement.Policy
	random         *rand.Rand
	accountBudgets *retry.Budgets[fleet.Account]
	targetBudgets  *retry.Budgets[fleet.Target]
}

// Name returns the name of the service in the kernel.
func (*Service) Name() string { return Name }

// Provision reads the settings, looks up the services that routing uses, and
// registers the handler for requests of other routers. It returns an error if a
// service is missing or the policy is unknown.
func (s *Service) Provision(c *kernel.Context) error {
	if err := c.Settings(&s.settings); err != nil {
		return err
	}
	if err := s.lookUpServices(c); err != nil {
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
	s.accountBudgets = retry.NewBudgets[fleet.Account](defaults.AccountRatio)
	s.targetBudgets = retry.NewBudgets[fleet.Target](defaults.TargetRatio)
	s.config.Watch(s.configure)
	s.peers.HandleCall(peer.KindRun, s.serve)
	return nil
}

func (s *Service) lookUpServices(c *kernel.Context) error {
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

// OwnersKnown reports whether requests can be placed: an owner is known for every
// target in service, or the router has waited for it long enough.
func (s *Service) OwnersKnown() bool { return s.targets.OwnersKnown() }

// FirstOwner returns the owner of the target that ranks first for the request. It
// reports false if no target can run the request or the target has no owner.
func (s *Service) FirstOwner(req *call.Request) (fleet.VM, bool) {
	r := s.rank(req)
	if len(r.order) == 0 {
		return "", false
	}
	return s.owners.Owner(targetResource(r.target(0)))
}

// configure applies the retry ratios of a new configuration.
func (s *Service) configure(c *config.Effective) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.accountBudgets.SetRatio(c.Retry.AccountRatio)
	s.targetBudgets.SetRatio(c.Retry.TargetRatio)
}

// Interfaces that Service must implement.
var (
	_ Router             = (*Service)(nil)
	_ kernel.Provisioner = (*Service)(nil)
)
