package configsync

import (
	"context"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/vmihailenco/msgpack/v5"

	"github.com/zinniafork/zinniafork/internal/core/configstate"
	"github.com/zinniafork/zinniafork/internal/fleet"
	"github.com/zinniafork/zinniafork/internal/service/members"
)

// statusParallel limits the routers that are asked at once.
const statusParallel = 32

// Status tells how far the configuration has spread in this site.
type Status struct {
	Site fleet.Site `json:"site"`
	// Newest is the newest version that this router knows; Confirmed the
	// newest that the log showed it.
	Newest    configstate.Entry   `json:"newest"`
	Confirmed configstate.Version `json:"confirmed"`
	// LogRead is the time of the last successful read of the log.
	LogRead time.Time `json:"log_read"`
	// Routers are the site's live routers, sorted by VM.
	Routers []RouterStatus `json:"routers"`
}

// own returns the status of this router.
func (s *Service) own() RouterStatus {
	s.mu.Lock()
	defer s.mu.Unlock()
	entry, _ := s.state.Current()
	return RouterStatus{
		VM:      s.members.Self().VM,
		Newest:  entry.Version,
		InForce: s.inForce(),
		Problem: s.problem.Message,
	}
}

// Status asks every live router that has not told lately, in a heartbeat or in
// an earlier answer, that the newest version is in force there.
func (s *Service) Status(ctx context.Context) Status {
	own := s.own()
	s.mu.Lock()
	entry, _ := s.state.Current()
	out := Status{Site: s.site, Newest: entry, Confirmed: s.state.Confirmed(), LogRead: s.lastRead}
	digests := s.spread.Digests(s.clock.Now())
	s.mu.Unlock()
	out.Routers = []RouterStatus{own}
	var ask []fleet.VM
	for _, m := range s.members.Snapshot().Members {
		if m.VM == own.VM || m.Status == members.StateDead {
			continue
		}
		if d, ok := digests[m.VM]; ok && d == configstate.DigestOf(entry.Version, entry.Version.Offset) {
			out.Routers = append(out.Routers, RouterStatus{VM: m.VM, Newest: entry.Version, InForce: entry.Version})
			continue
		}
		ask = append(ask, m.VM)
	}
	out.Routers = append(out.Routers, s.askAll(ctx, ask)...)
	slices.SortFunc(out.Routers, func(a, b RouterStatus) int { return strings.Compare(string(a.VM), string(b.VM)) })
	return out
}

func (s *Service) askAll(ctx context.Context, vms []fleet.VM) []RouterStatus {
	out := make([]RouterStatus, len(vms))
	slots := make(chan struct{}, statusParallel)
	var wg sync.WaitGroup
	for i, vm := range vms {
		wg.Add(1)
		slots <- struct{}{}
		go func() {
			defer wg.Done()
			out[i] = s.ask(ctx, vm)
			<-slots
		}()
	}
	wg.Wait()
	return out
}

func (s *Service) ask(ctx context.Context, vm fleet.VM) RouterStatus {
	data, err := s.query(ctx, vm, query{Status: true})
	if err != nil {
		return RouterStatus{VM: vm, Unreachable: true}
	}
	var out RouterStatus
	if err := msgpack.Unmarshal(data, &out); err != nil || out.VM != vm {
		return RouterStatus{VM: vm, Unreachable: true}
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.spread.Observe(vm, configstate.DigestOf(out.Newest, out.InForce.Offset), s.clock.Now())
	return out
}
