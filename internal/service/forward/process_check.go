package forward

import (
	"context"
	"errors"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/zinniafork/zinniafork/internal/core/routing"
	"github.com/zinniafork/zinniafork/internal/core/sitestate"
	"github.com/zinniafork/zinniafork/internal/fleet"
)

// A target may start again under its ID with other software, and its entry tells so only
// once the log has been read again. What streams of it hold, and where they may go on, goes
// by the version in its entry. So a stream that goes on, or begins at a target that broke a
// connection since its entry was confirmed, goes there only if the target's process is the
// one of the entry.

// processCheckTimeout limits the question which process a target runs.
const processCheckTimeout = 150 * time.Millisecond

// errOtherProcess is the error of a send to a target that has restarted since it wrote the
// entry that is known.
var errOtherProcess = errors.New("target has restarted since its entry was written")

// doubt notes that another process of a target may run than that of its entry. The caller
// holds the lock.
func (s *Service) doubt(id fleet.Target) { s.doubted[id] = true }

// checkProcess returns an error if a stream must not be sent to a target because another
// process may run there than that of its entry.
func (r *request) checkProcess(s *send) error {
	t := &s.choice.Target
	if r.route.Kind != routing.Stream || !r.route.Resumable || t.Born == 0 {
		return nil
	}
	r.mu.Lock()
	goesOn := r.pinned != ""
	r.mu.Unlock()
	r.s.mu.Lock()
	check := (goesOn || r.s.doubted[t.ID]) && !r.s.paths.IsCut(t.Service)
	r.s.mu.Unlock()
	if !check {
		return nil
	}
	err := r.s.checkProcess(s.ctx, t)
	if err == nil {
		return nil
	}
	if !errors.Is(err, errOtherProcess) && s.ctx.Err() == nil {
		r.s.pathDoubted(t.Service, t.ID)
	}
	return &SendError{Target: t.ID, PathFailed: true, Err: err}
}

// checkProcess asks a target which process it runs. One that does not tell is taken for
// that of its entry.
func (s *Service) checkProcess(ctx context.Context, t *sitestate.AvailableTarget) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	stop := s.clock.AfterFunc(processCheckTimeout, cancel)
	defer stop()
	born, err := s.targets.Born(ctx, t.Target)
	if err == nil && born != 0 && born != t.Born {
		err = errOtherProcess
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if err != nil {
		s.logger.WithError(err).WithFields(logrus.Fields{"target": t.ID, "born": born}).Info("Stream not sent to a target.")
		s.doubt(t.ID)
		return err
	}
	delete(s.doubted, t.ID)
	return nil
}
