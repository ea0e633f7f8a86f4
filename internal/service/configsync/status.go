package configsync

import (
	"context"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/zinniafork/zinniafork/internal/core/configstate"
	"github.com/zinniafork/zinniafork/internal/fleet"
	"github.com/zinniafork/zinniafork/internal/service/members"
	"github.com/zinniafork/zinniafork/internal/wire"
)

// maxStatusQueries is the largest number of status queries in flight for one Status
// call.
const maxStatusQueries = 32

// Status describes which versions are known and in force in this site.
type Status struct {
	Site fleet.Site `json:"site"`
	// Newest is the newest version that this router knows, and Confirmed the
	// newest one that it has read from the log.
	Newest    configstate.Entry   `json:"newest"`
	Confirmed configstate.Version `json:"confirmed"`
	// LogRead is the time of the last successful read of the log.
	LogRead time.Time `json:"log_read"`
	// Routers holds the status of the site's routers that are not dead, sorted by
	// VM.
	Routers []RouterStatus `json:"routers"`
}

// localStatus returns the status of this router.
func (s *Service) localStatus() RouterStatus {
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

// Status implements [Versions]. It queries every router that is not dead, except
// those whose recent digest, from a heartbeat or an earlier query, shows that the
// newest version is in force there.
func (s *Service) Status(ctx context.Context) Status {
	local := s.localStatus()
	s.mu.Lock()
	entry, _ := s.state.Current()
	out := Status{Site: s.site, Newest: entry, Confirmed: s.state.Confirmed(), LogRead: s.lastRead}
	digests := s.peerVersions.Digests(s.clock.Now())
	s.mu.Unlock()
	out.Routers = []RouterStatus{local}
	var unknown []fleet.VM
	for _, m := range s.members.Snapshot().Members {
		if m.VM == local.VM || m.Status == members.StateDead {
			continue
		}
		if d, ok := digests[m.VM]; ok && d == configstate.DigestOf(entry.Version, entry.Version.Offset) {
			out.Routers = append(out.Routers, RouterStatus{VM: m.VM, Newest: entry.Version, InForce: entry.Version})
			continue
		}
		unknown = append(unknown, m.VM)
	}
	out.Routers = append(out.Routers, s.queryStatuses(ctx, unknown)...)
	slices.SortFunc(out.Routers, func(a, b RouterStatus) int { return strings.Compare(string(a.VM), string(b.VM)) })
	return out
}

// queryStatuses queries the routers in parallel and returns their status in the
// order of vms.
func (s *Service) queryStatuses(ctx context.Context, vms []fleet.VM) []RouterStatus {
	out := make([]RouterStatus, len(vms))
	slots := make(chan struct{}, maxStatusQueries)
	var wg sync.WaitGroup
	for i, vm := range vms {
		wg.Add(1)
		slots <- struct{}{}
		go func() {
			defer wg.Done()
			out[i] = s.queryStatus(ctx, vm)
			<-slots
		}()
	}
	wg.Wait()
	return out
}

// queryStatus queries one router and records the digest of its reply. A router
// without a valid reply is unreachable.
func (s *Service) queryStatus(ctx context.Context, vm fleet.VM) RouterStatus {
	data, err := s.query(ctx, vm, query{Status: true})
	if err != nil {
		return RouterStatus{VM: vm, Unreachable: true}
	}
	var out RouterStatus
	if err := wire.Unmarshal(data, &out); err != nil || out.VM != vm {
		return RouterStatus{VM: vm, Unreachable: true}
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.peerVersions.Observe(vm, configstate.DigestOf(out.Newest, out.InForce.Offset), s.clock.Now())
	return out
}
