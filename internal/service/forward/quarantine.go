package forward

import (
	"fmt"
	"slices"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/zinniafork/zinniafork/internal/core/quarantine"
	"github.com/zinniafork/zinniafork/internal/fleet"
)

// quarantineRetryAfter is the Retry-After of a request that crashes targets: it is of no
// use to come back soon.
const quarantineRetryAfter = 30 * time.Second

// errQuarantined is the error of a request whose content, or a part of whose prompt,
// crashes targets.
type errQuarantined struct{ part uint64 }

// Error names the part.
func (e errQuarantined) Error() string {
	return fmt.Sprintf("content or prompt part %x crashes targets", e.part)
}

// promptParts returns the hashes of the shared parts of a prompt for an engine.
func (r *request) promptParts() []uint64 {
	if !r.service.Engine {
		return nil
	}
	return r.Prefixes
}

// sharedParts returns the hashes of what sound requests may have too: prompt parts, or the
// resource of a request with neither prompt nor body.
func (r *request) sharedParts() []uint64 {
	if !r.service.Engine && len(r.Body) == 0 {
		return []uint64{r.resource}
	}
	return r.promptParts()
}

// contents returns the hashes of what identifies the request: its resource, if that includes a
// body, and its content.
func (r *request) contents() []uint64 {
	if len(r.Body) > 0 {
		return []uint64{r.resource, r.content}
	}
	return []uint64{r.content}
}

// parts returns the hashes of what may crash targets.
func (r *request) parts() []uint64 { return append(slices.Clip(r.sharedParts()), r.contents()...) }

// targetProcess returns the process that a send went to.
func (s *send) targetProcess() quarantine.Engine {
	t := &s.choice.Target
	return engineOf(t.ID, t.Born, t.Service)
}

// engineOf returns the process of a target.
func engineOf(id fleet.Target, born int64, service fleet.Service) quarantine.Engine {
	return quarantine.Engine{Target: id.Ref(), Born: uint32(born), Service: service}
}

// checkQuarantine reports whether a part of the request is in quarantine, so that it must
// not be sent.
func (r *request) checkQuarantine(now time.Time) bool {
	r.s.mu.Lock()
	part, refused := r.s.quarantine.Refuses(now, r.parts(), r.s.probesPart)
	r.s.mu.Unlock()
	if refused {
		r.s.metrics.quarantineRefused.Inc(1)
		r.lastErr = errQuarantined{part: part}
	}
	return refused
}

// probesPart reports whether this router is the one that probes a part in quarantine.
// The caller holds the lock.
func (s *Service) probesPart(part uint64) bool {
	return highestRanked(fleet.Target(fmt.Sprintf("%x", part)), s.liveRouters) == s.self
}

// isolated reports whether a part of the request has crashed targets, so that it must not
// be sent to more than one.
func (r *request) isolated() bool {
	r.s.mu.Lock()
	defer r.s.mu.Unlock()
	return r.s.quarantine.Isolates(r.parts())
}

// partsServed clears the parts of the prompt once a send has brought an event, or a
// complete response.
func (r *request) partsServed(s *send) {
	if s.responded {
		return
	}
	s.responded = true
	if parts := r.sharedParts(); len(parts) > 0 {
		r.served(s, parts)
	}
}

// contentServed clears the content of the request once its response is complete.
func (r *request) contentServed(s *send) { r.served(s, r.contents()) }

// served records that a target has not crashed on these parts.
func (r *request) served(s *send, parts []uint64) {
	r.s.mu.Lock()
	defer r.s.mu.Unlock()
	r.s.logParts(r.s.quarantine.Served(r.s.clock.Now(), parts, s.targetProcess(), s.startedAt), r.s.self)
}

// sendBroke records a send that ended with an error as a crash of its target, if neither
// this router nor the caller ended it, nor the path of this router that has failed. Once it has
// brought something, only the content may have crashed the target.
func (r *request) sendBroke(s *send, now time.Time, err error) {
	if s.ctx.Err() != nil || !closedByTarget(err) {
		return
	}
	if s.resp != nil && s.via == "" {
		r.s.pathBroke(s.choice.Target.Service, s.target())
	}
	crash := quarantine.Crash{Engine: s.targetProcess(), Content: r.content}
	if len(r.Body) > 0 {
		crash.Resource = r.resource
	}
	if !s.responded {
		crash.Parts = r.sharedParts()
	}
	if !r.s.targetCrashed(now, crash, s) {
		return
	}
	if r.isolated() {
		r.mu.Lock()
		defer r.mu.Unlock()
		r.machine.Isolate()
	}
}

// targetCrashed records a crash, and returns false if it is the path that has failed.
func (s *Service) targetCrashed(now time.Time, crash quarantine.Crash, broken *send) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.doubt(broken.target())
	if broken.via == "" && !s.paths.Reachable(now, crash.Engine.Service, broken.target()) {
		return false
	}
	s.metrics.engineCrashes.Inc(1)
	s.logParts(s.quarantine.Crashed(now, crash), s.self)
	return true
}

// applyNotices records what another router reports of prompt parts, and returns what a
// hub passes on. The caller holds the lock.
func (s *Service) applyNotices(now time.Time, from fleet.VM, n quarantine.Notices) quarantine.Notices {
	relayed := n
	relayed.Crashes = nil
	for _, c := range n.Crashes {
		c.Engine.Service = s.targetServices[c.Engine.Target]
		changes, news := s.quarantine.CrashedElsewhere(now, c)
		s.logParts(changes, from)
		if news {
			relayed.Crashes = append(relayed.Crashes, c)
		}
	}
	for _, part := range n.Familiar {
		s.quarantine.FamiliarElsewhere(part)
	}
	for _, part := range n.Quarantined {
		s.logParts(s.quarantine.QuarantinedElsewhere(now, part), from)
	}
	for _, part := range n.Cleared {
		s.logParts(s.quarantine.ServedElsewhere(now, part), from)
	}
	return relayed
}

// fromLog is logged in place of a router for parts that were read from the log.
const fromLog fleet.VM = "log"

// logParts logs the changes of parts, has them written to the log, and updates
// the number of those in quarantine. From is the router that has seen the last evidence.
// The caller holds the lock.
func (s *Service) logParts(changes []quarantine.Change, from fleet.VM) {
	for _, c := range changes {
		entry := s.logger.WithFields(logrus.Fields{"hash": fmt.Sprintf("%x", c.Part), "crashes": c.Crashes, "from": from})
		switch c.State {
		case quarantine.Suspected:
			entry.Info("Request content or prompt part suspected of crashing targets.")
		case quarantine.Quarantined:
			entry.Warn("Request content or prompt part quarantined: it crashes targets.")
		default:
			entry.Info("Request content or prompt part cleared.")
		}
		if from != fromLog {
			s.writePart(c)
		}
	}
	gauge := s.metrics.quarantinedParts
	gauge.Inc(int64(s.quarantine.Count()) - gauge.Count())
}

// engineDown records that a process has ended: it has another one after it, or can't be reached
// while others of its service can. It has crashed if it broke off requests before. The caller
// holds the lock.
func (s *Service) engineDown(now time.Time, e quarantine.Engine) {
	changes, crashed := s.quarantine.EngineDown(now, e)
	s.logParts(changes, s.self)
	if crashed {
		s.down = append(s.down, leavingTarget{target: e.Target, born: e.Born})
	}
}

// applyDown records the processes that another router has found to be down. The caller
// holds the lock.
func (s *Service) applyDown(now time.Time, from fleet.VM, down []leavingTarget) {
	for _, d := range down {
		changes, _ := s.quarantine.EngineDown(now, quarantine.Engine{Target: d.target, Born: d.born, Service: s.targetServices[d.target]})
		s.logParts(changes, from)
	}
}
