package capacity

import (
	"context"
	"fmt"
	"runtime"
	"syscall"
	"time"

	"github.com/zinniafork/zinniafork/internal/kernel"
	"github.com/zinniafork/zinniafork/internal/lab/caller"
	"github.com/zinniafork/zinniafork/internal/lab/site"
	"github.com/zinniafork/zinniafork/internal/lab/testbed"
	"github.com/zinniafork/zinniafork/internal/lab/workload"
)

const (
	// settleTime lets a fleet find its owners before it is measured.
	settleTime = 4 * time.Second
	// idleTime is how long a fleet without work is measured, loadTime one
	// with work.
	idleTime = 8 * time.Second
	loadTime = 10 * time.Second
)

var clock kernel.SystemClock

// fleetSize is the size of one measured fleet.
type fleetSize struct {
	routers, targets int
	// chats and orders are arrivals a second; zero for an idle fleet.
	chats, orders float64
	// changes is the number of configuration changes while it is measured.
	changes int
}

// sample is what one fleet needed.
type sample struct {
	fleetSize
	// seconds is how long the fleet was measured.
	seconds float64
	// cores and heap are for each router, without the stand-ins.
	cores float64
	heap  float64
	// control holds the bytes a second of each kind for a mean router, and
	// busiest the total of the busiest router.
	control map[string]float64
	busiest float64
	// messages are those that a mean router sends a second.
	messages float64
	// appends and reads are calls of the log service a second, and
	// appendBytes the bytes appended to it a second.
	appends, reads float64
	appendBytes    float64
}

// usage is the processor time and memory of this process at one moment.
type usage struct {
	at    time.Time
	cpu   time.Duration
	bytes float64
}

func measureUsage() (usage, error) {
	runtime.GC()
	var mem runtime.MemStats
	runtime.ReadMemStats(&mem)
	var r syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &r); err != nil {
		return usage{}, fmt.Errorf("read processor time: %w", err)
	}
	return usage{
		at:    time.Now(),
		cpu:   time.Duration(r.Utime.Nano() + r.Stime.Nano()),
		bytes: float64(mem.HeapAlloc + mem.StackInuse),
	}, nil
}

// measureFleet starts a fleet, lets it settle, and measures it.
func measureFleet(ctx context.Context, size fleetSize) (sample, error) {
	before, err := measureUsage()
	if err != nil {
		return sample{}, err
	}
	shape, err := site.ByName("trinidad", max(size.routers, 1), size.targets)
	if err != nil {
		return sample{}, err
	}
	shape.VMs = shape.VMs[:size.routers]
	shape.ChatRate, shape.OrderRate = size.chats, size.orders
	bed, err := testbed.Start(ctx, testbed.Options{Shape: shape, Seed: 1, ControlBudget: LimitTraffic})
	if err != nil {
		return sample{}, err
	}
	defer func() { _ = bed.Close() }()
	if err := bed.WaitReady(ctx); err != nil {
		return sample{}, err
	}
	if err := clock.Sleep(ctx, settleTime); err != nil {
		return sample{}, err
	}
	return observe(ctx, bed, size, before)
}

// observe measures a settled fleet while its load, if any, runs.
func observe(ctx context.Context, bed *testbed.Testbed, size fleetSize, before usage) (sample, error) {
	start, err := measureUsage()
	if err != nil {
		return sample{}, err
	}
	counted := bed.Count()
	if err := occupy(ctx, bed, size); err != nil {
		return sample{}, err
	}
	delta := bed.Count().Since(counted)
	end, err := measureUsage()
	if err != nil {
		return sample{}, err
	}
	seconds := end.at.Sub(start.at).Seconds()
	routers := float64(max(size.routers, 1))
	out := sample{
		fleetSize:   size,
		seconds:     seconds,
		cores:       (end.cpu - start.cpu).Seconds() / seconds,
		heap:        start.bytes - before.bytes,
		control:     make(map[string]float64),
		busiest:     delta.Busiest / seconds,
		messages:    float64(delta.Messages) / seconds / routers,
		appends:     float64(delta.Appends) / seconds,
		reads:       float64(delta.Reads) / seconds,
		appendBytes: float64(delta.AppendBytes) / seconds,
	}
	for kind, bytes := range delta.Control {
		out.control[kind] = bytes / seconds / routers
	}
	return out, nil
}

// occupy gives the fleet what its size asks for: a load, changes of its
// configuration, or nothing.
func occupy(ctx context.Context, bed *testbed.Testbed, size fleetSize) error {
	if size.chats+size.orders > 0 {
		plan := workload.Plan(workload.Options{Shape: bed.Shape(), Seed: 1, Duration: loadTime})
		load := caller.NewLoad(bed, plan, 1)
		load.Run(ctx, time.Now())
		load.Close()
		return nil
	}
	if size.changes == 0 {
		return clock.Sleep(ctx, idleTime)
	}
	for range size.changes {
		if _, err := bed.Race(ctx, 1); err != nil {
			return err
		}
		if err := clock.Sleep(ctx, idleTime/time.Duration(size.changes)); err != nil {
			return err
		}
	}
	return nil
}
