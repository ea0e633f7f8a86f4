package capacity

import (
	"context"
	"fmt"
	"io"
	"maps"
	"slices"
	"strings"

	"github.com/zinniafork/zinniafork/internal/lab/testbed"
	"github.com/zinniafork/zinniafork/internal/service/peer"
)

// Options shape the measurements.
type Options struct {
	// Routers are the sizes of the idle fleets, with targetsPerRouter targets
	// for each.
	Routers []int
	// Orders are the order rates of the loaded fleets, a second.
	Orders []float64
	// Progress takes lines for people.
	Progress io.Writer
}

const (
	// targetsPerRouter is the planned ratio.
	targetsPerRouter = 3
	// loadedRouters and loadedTargets are the fleet that takes orders.
	loadedRouters = 9
	loadedTargets = 15
	// changesPerFleet is the number of changes during one measurement.
	changesPerFleet = 4
	// boundedFrom is the number of routers above which each exchanges
	// heartbeats with a bounded number of others.
	boundedFrom = 17
	// orderShare is the share of orders among requests, as on today's sites.
	orderShare = 0.13
)

// Measure makes all measurements and returns the rows of the table.
func Measure(ctx context.Context, opt Options) ([]Row, error) {
	m := &measurement{opt: opt}
	if err := m.fleets(ctx); err != nil {
		return nil, err
	}
	rows := m.daemonRows()
	rows = append(rows, m.logRows()...)
	rows = append(rows, m.changeRows()...)
	more, err := decisionRows()
	if err != nil {
		return nil, err
	}
	return append(rows, more...), nil
}

type measurement struct {
	opt    Options
	empty  sample
	idle   []sample
	orders []sample
	// changes are fleets of loadedRouters while their configuration changes,
	// by the number of targets.
	changes []sample
}

func (m *measurement) fleets(ctx context.Context) error {
	var err error
	if m.empty, err = m.fleet(ctx, fleetSize{targets: targetsPerRouter * slices.Max(m.opt.Routers)}); err != nil {
		return err
	}
	for _, n := range m.opt.Routers {
		s, err := m.fleet(ctx, fleetSize{routers: n, targets: n * targetsPerRouter})
		if err != nil {
			return err
		}
		m.idle = append(m.idle, s)
	}
	for _, rate := range m.opt.Orders {
		s, err := m.fleet(ctx, fleetSize{routers: loadedRouters, targets: loadedTargets, orders: rate})
		if err != nil {
			return err
		}
		m.orders = append(m.orders, s)
	}
	for _, targets := range []int{15, 60, 180} {
		s, err := m.fleet(ctx, fleetSize{routers: loadedRouters, targets: targets, changes: changesPerFleet})
		if err != nil {
			return err
		}
		m.changes = append(m.changes, s)
	}
	return nil
}

func (m *measurement) fleet(ctx context.Context, size fleetSize) (sample, error) {
	fmt.Fprintf(m.opt.Progress, "fleet of %d routers and %d targets, %.0f orders a second, %d changes\n",
		size.routers, size.targets, size.orders, size.changes)
	s, err := measureFleet(ctx, size)
	if err != nil {
		return s, fmt.Errorf("fleet of %d routers: %w", size.routers, err)
	}
	return s, nil
}

// daemonRows are the lines of one VM with no work, by the number of routers.
func (m *measurement) daemonRows() []Row {
	targets := m.empty.targets
	cores := func(s sample) float64 {
		return (s.cores - m.empty.cores*float64(s.targets)/float64(targets)) / float64(s.routers)
	}
	heap := func(s sample) float64 {
		return (s.heap - m.empty.heap*float64(s.targets)/float64(targets)) / float64(s.routers)
	}
	mean := m.daemonRow("VM", "control traffic, mean router", UnitBytesPerSec, LimitTraffic, totalControl,
		"bounded neighbours; the period stretches to the budget")
	rows := []Row{
		m.daemonRow("VM", "processor time of control", UnitCores, LimitCore, cores,
			"heartbeats to a bounded number of neighbours"),
		m.daemonRow("VM", "memory", UnitBytes, LimitBytes, heap,
			"one row for each router and target of the site, no copy of others' chats"),
		m.daemonRow("VM", "messages sent", UnitPerSec, 0, func(s sample) float64 { return s.messages },
			"one message for all that goes to a neighbour"),
		mean,
		m.daemonRow("VM", "control traffic, busiest router", UnitBytesPerSec, LimitTraffic,
			func(s sample) float64 { return s.busiest }, "the same"),
	}
	for _, kind := range m.kinds() {
		figure := func(s sample) float64 { return s.control[kind] }
		rows = append(rows, m.daemonRow(roleOf(kind), kind+" traffic", UnitBytesPerSec, 0, figure, "part of the VM's budget"))
	}
	perDataCentre := float64(PlannedRouters) / PlannedDataCentres
	perRegion := float64(PlannedRouters) / PlannedRegions
	return append(rows,
		scaled(mean, "data centre", perDataCentre, fmt.Sprintf("%.0f routers", perDataCentre)),
		scaled(mean, "region", perRegion, fmt.Sprintf("%.0f routers", perRegion)))
}

// scaled returns the row of a group of routers.
func scaled(mean Row, role string, routers float64, mechanism string) Row {
	return Row{
		Role:      role,
		Resource:  "control traffic of its routers",
		Measured:  "from the mean router",
		Planned:   mean.Planned * routers,
		Unit:      mean.Unit,
		Mechanism: mechanism,
	}
}

func totalControl(s sample) float64 {
	total := 0.0
	for _, bytes := range s.control {
		total += bytes
	}
	return total
}

func (m *measurement) kinds() []string {
	all := make(map[string]bool)
	for _, s := range m.idle {
		for kind := range s.control {
			all[kind] = true
		}
	}
	return slices.Sorted(maps.Keys(all))
}

// roleOf returns the role that a kind of traffic serves.
func roleOf(kind string) string {
	switch kind {
	case "lease":
		return "owner"
	case "orders":
		return "journal"
	case "config", testbed.KindLog:
		return "config"
	case "figures":
		return "admin"
	default:
		return "VM"
	}
}

// daemonRow fits a figure of the idle fleets. Where three sizes have bounded
// neighbours the line goes through these alone, since smaller fleets follow
// another one.
func (m *measurement) daemonRow(role, resource string, unit Unit, limit float64, figure func(sample) float64, mechanism string) Row {
	var all, bounded []Point
	for _, s := range m.idle {
		p := Point{Size: float64(s.routers), Value: figure(s)}
		all = append(all, p)
		if s.routers >= boundedFrom {
			bounded = append(bounded, p)
		}
	}
	row := fitted(role, resource, "routers", all, PlannedRouters, unit, limit, mechanism)
	if len(bounded) < leastPoints {
		return row
	}
	line := fitted(role, resource, "routers", bounded, PlannedRouters, unit, limit, mechanism)
	row.Slope, row.Planned = line.Slope, line.Planned
	return row
}

// leastPoints is the least number of sizes for a line.
const leastPoints = 3

// fitted returns the row of figures that grow with a size.
func fitted(role, resource, of string, points []Point, planned float64, unit Unit, limit float64, mechanism string) Row {
	line := Fit(points)
	var measured []string
	for _, p := range points {
		measured = append(measured, fmt.Sprintf("%s at %.0f", show(p.Value, unit), p.Size))
	}
	return Row{
		Role:      role,
		Resource:  resource,
		Measured:  strings.Join(measured, ", ") + " " + of,
		Slope:     fmt.Sprintf("%s + %s for each", show(line.Base, unit), show(line.Slope, unit)),
		Planned:   max(0, line.At(planned)),
		Limit:     limit,
		Unit:      unit,
		Mechanism: mechanism,
	}
}

// logRows are the lines of the log service, by the rate of orders.
func (m *measurement) logRows() []Row {
	points := func(figure func(sample) float64) []Point {
		var out []Point
		for _, s := range m.orders {
			out = append(out, Point{Size: s.orders, Value: figure(s)})
		}
		return out
	}
	planned := PlannedRequests * orderShare
	traffic := fitted("journal", "traffic with the log, all routers", "orders/s",
		points(func(s sample) float64 { return s.control[testbed.KindLog] * float64(s.routers) }),
		planned, UnitBytesPerSec, 0, "partitions are spread over the routers")
	return []Row{
		fitted("log streams", "appends", "orders/s", points(func(s sample) float64 { return s.appends }),
			planned, UnitPerSec, LimitAppends, "many intents in one append, budget for the whole fleet"),
		fitted("log streams", "appended bytes", "orders/s", points(func(s sample) float64 { return s.appendBytes }),
			planned, UnitBytesPerSec, 0, "the same"),
		fitted("log streams", "reads", "orders/s", points(func(s sample) float64 { return s.reads }),
			planned, UnitPerSec, 0, "owners read their partitions alone"),
		traffic,
		partOf(traffic, "traffic with the log, one of 8 partitions", todaysPartitions, "the default of today's sites"),
		partOf(traffic, "traffic with the log, one of 390 partitions", PlannedRouters, "as many partitions as routers"),
	}
}

// partOf returns the row of one of several equal parts.
func partOf(whole Row, resource string, parts float64, mechanism string) Row {
	return Row{
		Role:      whole.Role,
		Resource:  resource,
		Measured:  "from all routers",
		Planned:   whole.Planned / parts,
		Limit:     LimitTraffic,
		Unit:      whole.Unit,
		Mechanism: mechanism,
	}
}

// changeRows are the lines of changes of the configuration, by the number of
// targets, beyond what an idle fleet needs.
func (m *measurement) changeRows() []Row {
	var points []Point
	for _, s := range m.changes {
		bytes := (s.control[testbed.KindLog] + s.control[string(peer.KindConfig)]) * s.seconds
		points = append(points, Point{Size: float64(s.targets), Value: bytes / changesPerFleet})
	}
	change := fitted("config", "traffic of one change at a router", "targets", points, PlannedTargets, UnitBytes, 0,
		"a record holds the changed document, compressed; peers send a body once")
	return []Row{change, {
		Role: "config", Resource: "traffic of all changes at a router", Measured: "from one change",
		Planned: change.Planned * PlannedChanges / day.Seconds(), Limit: LimitTraffic, Unit: UnitBytesPerSec,
		Mechanism: fmt.Sprintf("%d changes a day", PlannedChanges),
	}}
}
