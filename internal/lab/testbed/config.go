package testbed

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"maps"
	"net/http"
	"slices"
	"sync"
	"time"

	"github.com/pelletier/go-toml/v2"

	"github.com/zinniafork/zinniafork/internal/config"
	"github.com/zinniafork/zinniafork/internal/core/configstate"
	"github.com/zinniafork/zinniafork/internal/fleet"
	"github.com/zinniafork/zinniafork/internal/lab/history"
	"github.com/zinniafork/zinniafork/internal/platform/logstream"
	"github.com/zinniafork/zinniafork/internal/service/configsync"
	"github.com/zinniafork/zinniafork/internal/standin/plaind"
)

// Operator is the author of the testbed's configuration and OperatorKey its
// key of the administration API.
const (
	Operator    = "lab"
	OperatorKey = "key-of-the-lab-operator"
)

// rules is what operators change during an experiment.
type rules struct {
	dataCentres map[fleet.DataCentre]fleet.Mark
	vms         map[fleet.VM]fleet.Mark
	targets     map[fleet.Target]fleet.Mark
	queueLength int
}

func newRules() rules {
	return rules{
		dataCentres: make(map[fleet.DataCentre]fleet.Mark),
		vms:         make(map[fleet.VM]fleet.Mark),
		targets:     make(map[fleet.Target]fleet.Mark),
		queueLength: config.Defaults().Load.QueueLength,
	}
}

func (r rules) clone() rules {
	r.dataCentres = maps.Clone(r.dataCentres)
	r.vms = maps.Clone(r.vms)
	r.targets = maps.Clone(r.targets)
	return r
}

// document writes the configuration of the site.
func (b *Testbed) document(r rules) ([]byte, error) {
	text, err := toml.Marshal(b.configuration(r))
	if err != nil {
		return nil, fmt.Errorf("write configuration: %w", err)
	}
	return text, nil
}

func (b *Testbed) configuration(r rules) *config.Config {
	shape := b.opt.Shape
	c := config.Defaults()
	c.Site = shape.Name
	c.Members = []config.Member{{Name: shape.Member, Weight: 1}}
	c.Models = []config.Model{{Name: shape.Model}}
	for _, name := range shape.Services {
		row := config.Service{Name: name, OrderMethods: []string{http.MethodPost}}
		if shape.StatusLookup(name) {
			row.StatusPath = plaind.StatusPath
		}
		c.Services = append(c.Services, row)
	}
	c.Load.QueueLength = r.queueLength
	if b.opt.ControlBudget > 0 {
		c.Control.BytesPerSecond = b.opt.ControlBudget
	}
	for _, dc := range shape.DataCentres {
		row := config.DataCentre{Name: dc, Region: shape.Region, Mark: r.dataCentres[dc]}
		c.DataCentres = append(c.DataCentres, row)
	}
	for _, vm := range slices.Sorted(maps.Keys(r.vms)) {
		c.VMs = append(c.VMs, config.VM{Name: vm, Mark: r.vms[vm]})
	}
	for _, t := range shape.Targets {
		row := config.Target{
			Name:       t.Name,
			DataCentre: t.DataCentre,
			URL:        "http://" + b.fabric.Get(string(t.Name)).Addr(targetPort),
			Slots:      t.Slots,
			ColdSlots:  t.ColdSlots,
			Mark:       r.targets[t.Name],

			ChecksFencing: t.ChecksFencing,
			Resumes:       t.IsEngine(),
			MovesCache:    t.IsEngine(),
		}
		if t.IsEngine() {
			row.Models = []fleet.Model{t.Model}
		} else {
			row.Service = t.Service
		}
		c.Targets = append(c.Targets, row)
	}
	for _, a := range shape.Accounts {
		c.Accounts = append(c.Accounts, config.Account{
			Name:      a.Name,
			Member:    shape.Member,
			Weight:    1,
			KeyHashes: []string{hash(a.Key)},
		})
	}
	c.Operators = []config.Operator{{
		Name:      Operator,
		Member:    shape.Member,
		Role:      config.RoleAdmin,
		Sites:     []fleet.Site{shape.Name},
		KeyHashes: []string{hash(OperatorKey)},
	}}
	return c
}

func hash(key string) string {
	sum := sha256.Sum256([]byte(key))
	return hex.EncodeToString(sum[:])
}

// publishFirst puts the first configuration on the log.
func (b *Testbed) publishFirst() error {
	text, err := b.document(b.rules)
	if err != nil {
		return err
	}
	b.log.Append(configsync.Stream, configsync.Genesis(text))
	return nil
}

// change edits the rules and publishes them. The edit stays in the rules only
// when it was accepted.
func (b *Testbed) change(ctx context.Context, edit func(*rules)) error {
	b.publishing.Lock()
	defer b.publishing.Unlock()
	b.mu.Lock()
	next := b.rules.clone()
	b.mu.Unlock()
	edit(&next)
	text, err := b.document(next)
	if err != nil {
		return err
	}
	if err := b.publish(ctx, Operator, text); err != nil {
		return err
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	b.rules = next
	return nil
}

// publish puts a document on the log and notes when it was accepted.
func (b *Testbed) publish(ctx context.Context, author string, text []byte) error {
	h := b.fabric.Get(OperatorHost)
	client := &http.Client{Transport: &http.Transport{DialContext: h.DialContext}}
	p := configsync.NewPublisher(logstream.New(b.logURL(), client), h.Clock(), author)
	v, err := p.Publish(ctx, configstate.Base, text)
	if err != nil {
		return err
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	b.record.Published = append(b.record.Published, history.Publish{Offset: v.Offset, Hash: v.Hash, At: time.Now()})
	return nil
}

func (b *Testbed) logURL() string { return "http://" + b.fabric.Get(LogHost).Addr(platformPort) }

// Race lets authors publish a change of a harmless rule at the same time and
// returns how many were told that theirs was accepted.
func (b *Testbed) Race(ctx context.Context, authors int) (accepted int, err error) {
	b.publishing.Lock()
	defer b.publishing.Unlock()
	b.mu.Lock()
	base := b.rules.clone()
	b.mu.Unlock()
	var (
		wg sync.WaitGroup
		mu sync.Mutex
	)
	for i := range authors {
		next := base.clone()
		b.races++
		next.queueLength += b.races
		text, err := b.document(next)
		if err != nil {
			return 0, err
		}
		wg.Go(func() {
			if b.publish(ctx, fmt.Sprintf("%s-%d", Operator, i), text) != nil {
				return
			}
			mu.Lock()
			defer mu.Unlock()
			accepted++
		})
	}
	wg.Wait()
	return accepted, nil
}

// Lift takes a drain mark away again.
type Lift func(ctx context.Context) error

// DrainDataCentre publishes a drain mark.
func (b *Testbed) DrainDataCentre(ctx context.Context, dc fleet.DataCentre) (Lift, error) {
	return b.mark(ctx, history.Mark{DataCentre: dc}, func(r *rules, m fleet.Mark) { r.dataCentres[dc] = m })
}

// DrainTarget publishes a drain mark.
func (b *Testbed) DrainTarget(ctx context.Context, t fleet.Target) (Lift, error) {
	return b.mark(ctx, history.Mark{Target: t}, func(r *rules, m fleet.Mark) { r.targets[t] = m })
}

// DrainVM publishes a drain mark.
func (b *Testbed) DrainVM(ctx context.Context, vm fleet.VM) (Lift, error) {
	return b.mark(ctx, history.Mark{VM: vm}, func(r *rules, m fleet.Mark) { r.vms[vm] = m })
}

func (b *Testbed) mark(ctx context.Context, m history.Mark, set func(*rules, fleet.Mark)) (Lift, error) {
	if err := b.change(ctx, func(r *rules) { set(r, fleet.MarkDrain) }); err != nil {
		return nil, err
	}
	m.Accepted = time.Now()
	b.mu.Lock()
	i := len(b.record.Marks)
	b.record.Marks = append(b.record.Marks, m)
	b.mu.Unlock()
	return func(ctx context.Context) error {
		b.mu.Lock()
		b.record.Marks[i].Lifted = time.Now()
		b.mu.Unlock()
		return b.change(ctx, func(r *rules) { set(r, fleet.MarkNone) })
	}, nil
}
