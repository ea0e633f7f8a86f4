package forward

import (
	"errors"
	"fmt"
	"io"
	"syscall"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/zinniafork/zinniafork/internal/core/quarantine"
	"github.com/zinniafork/zinniafork/internal/fleet"
)

// quarantineRetryAfter is the Retry-After of a request with a prompt part in quarantine:
// it is of no use to come back soon.
const quarantineRetryAfter = 30 * time.Second

// errQuarantined is the error of a request with a prompt part that crashes engines.
type errQuarantined struct{ part uint64 }

// Error names the part.
func (e errQuarantined) Error() string { return fmt.Sprintf("prompt part %x crashes engines", e.part) }

// hasParts reports whether the prompt has parts that may crash engines.
func (r *request) hasParts() bool { return r.service.Engine && len(r.Prefixes) > 0 }

// engineProcess returns the engine process that a send went to.
func (s *send) engineProcess() quarantine.Engine {
	return quarantine.Engine{Target: s.target().Ref(), Born: uint32(s.choice.Target.Born)}
}

// checkQuarantine reports whether the prompt has a part in quarantine, so that the
// request must not be sent.
func (r *request) checkQuarantine(now time.Time) bool {
	if !r.hasParts() {
		return false
	}
	r.s.mu.Lock()
	part, refused := r.s.quarantine.Refuses(now, r.Prefixes, r.s.probesPart)
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

// isolated reports whether the prompt has a part that has crashed engines, so that the
// request must not be sent to more than one.
func (r *request) isolated() bool {
	r.s.mu.Lock()
	defer r.s.mu.Unlock()
	return r.hasParts() && r.s.quarantine.Isolates(r.Prefixes)
}

// partsServed clears the parts of the prompt once a send has brought an event, or a
// complete response.
func (r *request) partsServed(s *send) {
	if s.responded {
		return
	}
	s.responded = true
	if !r.hasParts() {
		return
	}
	r.s.mu.Lock()
	defer r.s.mu.Unlock()
	r.s.logParts(r.s.quarantine.Served(r.s.clock.Now(), r.Prefixes, s.engineProcess(), s.startedAt), r.s.self)
}

// sendBroke records a send that ended with an error as a crash of its engine if it has
// brought nothing, and neither this router nor the caller ended it.
func (r *request) sendBroke(s *send, now time.Time, err error) {
	if s.responded || s.ctx.Err() != nil || !r.hasParts() || !closedByTarget(err) {
		return
	}
	r.s.metrics.engineCrashes.Inc(1)
	r.s.mu.Lock()
	r.s.logParts(r.s.quarantine.Crashed(now, quarantine.Crash{Engine: s.engineProcess(), Parts: r.Prefixes}), r.s.self)
	r.s.mu.Unlock()
	if r.isolated() {
		r.mu.Lock()
		defer r.mu.Unlock()
		r.machine.Isolate()
	}
}

// closedByTarget reports whether a send failed since the target closed or reset an open
// connection.
func closedByTarget(err error) bool {
	var failure *SendError
	if errors.As(err, &failure) && (failure.Unreachable || !failure.Sent) {
		return false
	}
	for _, cause := range []error{io.EOF, io.ErrUnexpectedEOF, syscall.ECONNRESET, syscall.EPIPE} {
		if errors.Is(err, cause) {
			return true
		}
	}
	return false
}

// applyNotices records what another router reports of prompt parts, and returns what a
// hub passes on. The caller holds the lock.
func (s *Service) applyNotices(now time.Time, from fleet.VM, n quarantine.Notices) quarantine.Notices {
	relayed := n
	relayed.Crashes = nil
	for _, c := range n.Crashes {
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

// logParts logs the changes of prompt parts, has them written to the log, and updates
// the number of those in quarantine. From is the router that has seen the last evidence.
// The caller holds the lock.
func (s *Service) logParts(changes []quarantine.Change, from fleet.VM) {
	for _, c := range changes {
		entry := s.logger.WithFields(logrus.Fields{"part": fmt.Sprintf("%x", c.Part), "crashes": c.Crashes, "from": from})
		switch c.State {
		case quarantine.Suspected:
			entry.Info("Prompt part suspected of crashing engines.")
		case quarantine.Quarantined:
			entry.Warn("Prompt part quarantined: it crashes engines.")
		default:
			entry.Info("Prompt part cleared.")
		}
		if from != fromLog {
			s.writePart(c)
		}
	}
	gauge := s.metrics.quarantinedParts
	gauge.Inc(int64(s.quarantine.Count()) - gauge.Count())
}
