// Package scenario runs the experiments: each plays a load and its faults on
// a site and judges what came of it.
package scenario

import (
	"fmt"
	"time"

	"github.com/zinniafork/zinniafork/internal/lab/fault"
	"github.com/zinniafork/zinniafork/internal/lab/host"
)

// Scenario is one kind of experiment.
type Scenario struct {
	Name    string
	Summary string
	// Service is the least share of requests that must be completed once and
	// in time, leaving out accounts that surge.
	Service float64
	// AccountGap is the most by which the worst account may be below the
	// share of all; zero is not judged.
	AccountGap float64
	plan       func(p *fault.Plan)
}

// Least service by the kind of disturbance.
const (
	servicePlanned   = 0.999
	serviceUnplanned = 0.99
	// serviceChaos only shows that the fleet is alive.
	serviceChaos = 0.9
	accountGap   = 0.01
)

// All lists the scenarios.
func All() []Scenario { return append(operations(), faults()...) }

// operations are the scenarios in which nothing fails.
func operations() []Scenario {
	return []Scenario{
		{
			Name:       "steady",
			Summary:    "no disturbance",
			Service:    servicePlanned,
			AccountGap: accountGap,
			plan:       func(*fault.Plan) {},
		},
		{
			Name:       "surge",
			Summary:    "a few accounts send many times their load",
			Service:    serviceUnplanned,
			AccountGap: accountGap,
			plan:       surge,
		},
		{
			Name:    "dc-drain",
			Summary: "operators take a data centre out and bring it back",
			Service: servicePlanned,
			plan:    dcDrain,
		},
		{
			Name:    "config-race",
			Summary: "operators publish at the same moment",
			Service: servicePlanned,
			plan:    configRace,
		},
	}
}

// faults are the scenarios in which something fails.
func faults() []Scenario {
	return []Scenario{
		{
			Name:    "engine-churn",
			Summary: "engines join, leave, flap and turn cold without warning",
			Service: serviceUnplanned,
			plan:    engineChurn,
		},
		{
			Name:    "vmlist-split",
			Summary: "routers disagree about the VM list",
			Service: serviceUnplanned,
			plan:    vmlistSplit,
		},
		{
			Name:    "log-outage",
			Summary: "the log service is down, slow and loses answers",
			Service: serviceUnplanned,
			plan:    logOutage,
		},
		{
			Name:    "router-kill",
			Summary: "routers end abruptly while streams and orders flow",
			Service: serviceUnplanned,
			plan:    routerKill,
		},
		{
			Name:    "owner-pause",
			Summary: "VMs are paused past their leases and wake again",
			Service: serviceUnplanned,
			plan:    ownerPause,
		},
		{
			Name:    "silent-connections",
			Summary: "open connections go silent for good",
			Service: serviceUnplanned,
			plan:    silentConnections,
		},
		{
			Name:    "chaos",
			Summary: "faults of all kinds at random times",
			Service: serviceChaos,
			plan:    chaos,
		},
	}
}

// Sizes of the disturbances.
const (
	surgeAccounts = 2
	surgeFactor   = 6
	flaps         = 3
	flapPeriod    = 2 * time.Second
	lostAnswers   = 0.5
	slowLog       = 700 * time.Millisecond
	silences      = 8
	races         = 6
	racers        = 3
)

func surge(p *fault.Plan) {
	p.Surge(p.Share(0.25), p.Share(0.75), surgeAccounts, surgeFactor)
}

func dcDrain(p *fault.Plan) {
	p.DrainDataCentre(p.Share(0.2), p.Share(0.6))
	p.RestartRouter(p.Share(0.3))
}

func configRace(p *fault.Plan) {
	for i := range races {
		p.RaceConfig(p.Share(0.1+0.8*float64(i)/races), racers)
	}
	p.RestartRouter(p.Share(0.5))
}

func engineChurn(p *fault.Plan) {
	p.RestartEngine(p.Share(0.15), p.Share(0.4))
	p.TurnCold(p.Share(0.3))
	p.FlapEngine(p.Share(0.4), flaps, flapPeriod)
	p.DrainTarget(p.Share(0.5), p.Share(0.8))
	p.TurnCold(p.Share(0.65))
}

func vmlistSplit(p *fault.Plan) {
	p.SplitList(p.Share(0.15), p.Share(0.45))
	p.SplitList(p.Share(0.55), p.Share(0.8))
}

func logOutage(p *fault.Plan) {
	p.LogLosesAnswers(p.Share(0.1), p.Share(0.25), lostAnswers)
	p.LogDown(p.Share(0.3), p.Share(0.5), host.Refuse)
	p.LogSlow(p.Share(0.55), p.Share(0.65), slowLog)
	p.LogDown(p.Share(0.7), p.Share(0.9), host.Lose)
}

func routerKill(p *fault.Plan) {
	p.KillRouter(p.Share(0.15), p.Share(0.35), false)
	p.KillRouter(p.Share(0.4), p.Share(0.6), true)
	p.KillRouter(p.Share(0.65), p.Share(0.85), false)
}

func ownerPause(p *fault.Plan) {
	p.FreezeRouter(p.Share(0.15), p.Share(0.4), false)
	p.FreezeRouter(p.Share(0.3), p.Share(0.5), true)
	p.FreezeRouter(p.Share(0.6), p.Share(0.8), true)
}

func silentConnections(p *fault.Plan) {
	for i := range silences {
		p.Silence(p.Share(0.1+0.8*float64(i)/silences), i)
	}
}

// ByName returns a scenario.
func ByName(name string) (Scenario, error) {
	for _, s := range All() {
		if s.Name == name {
			return s, nil
		}
	}
	return Scenario{}, fmt.Errorf("scenario %q: want one of %v", name, Names())
}

// Names lists the scenarios.
func Names() []string {
	var out []string
	for _, s := range All() {
		out = append(out, s.Name)
	}
	return out
}
