package origins

import (
	"context"
	"io"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/shoenig/test/must"
	"github.com/sirupsen/logrus"

	"github.com/zinniafork/zinniafork/internal/core/origin"
	"github.com/zinniafork/zinniafork/internal/fleet"
	"github.com/zinniafork/zinniafork/internal/kernel"
	"github.com/zinniafork/zinniafork/internal/wire"
)

// slowLog is a log whose reads take a while after they have found what is there.
type slowLog struct {
	mu      sync.Mutex
	batches [][]byte
	reads   int
}

// WriteOrigins appends a batch.
func (l *slowLog) WriteOrigins(_ context.Context, _ string, batch []byte) error {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.batches = append(l.batches, batch)
	return nil
}

// ReadOrigins returns the batches that were there when it was called.
func (l *slowLog) ReadOrigins(_ context.Context, from Position) ([][]byte, Position, error) {
	l.mu.Lock()
	l.reads++
	out, next := l.batches[from.Offset:], Position{Offset: int64(len(l.batches)), Era: 1}
	l.mu.Unlock()
	time.Sleep(300 * time.Millisecond)
	return out, next, nil
}

// mixedService returns a router that knows a service whose version v2 has come after v1.
func mixedService(log Log) *Service {
	logger := logrus.New()
	logger.SetOutput(io.Discard)
	s := &Service{log: log, clock: kernel.SystemClock{}, logger: logrus.NewEntry(logger), tracker: origin.New(time.Now())}
	s.tracker.HistoryRead()
	for i, version := range []string{"v1", "v2"} {
		s.tracker.TargetChanged(time.Now(), fleet.Target(version), origin.Origin{Service: "llm", Version: version})
		if i == 0 {
			time.Sleep(3 * time.Second)
		}
	}
	return s
}

// TestLookupReadsTheLogAnew takes a stream up while a read for another lookup is under way, which
// began before the origin of the stream was written. It must not pass for one that was never
// recorded, and go on at the version that the service had before.
func TestLookupReadsTheLogAnew(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		log := new(slowLog)
		s := mixedService(log)
		first := make(chan origin.Verdict, 1)
		go func() {
			_, verdict := s.findInLog(t.Context(), 1, "llm")
			first <- verdict
		}()
		time.Sleep(50 * time.Millisecond)
		payload, err := wire.Marshal(&batch{AtMS: time.Now().UnixMilli(), Groups: encodeGroups([]origin.Record{
			{Stream: 2, Origin: origin.Origin{Service: "llm", Version: "v2"}},
		})})
		must.NoError(t, err)
		must.NoError(t, log.WriteOrigins(t.Context(), "slot", payload))
		time.Sleep(50 * time.Millisecond)
		o, verdict := s.findInLog(t.Context(), 2, "llm")
		must.Eq(t, origin.Known, verdict)
		must.Eq(t, "v2", o.Version)
		must.Eq(t, origin.Known, <-first)
		must.Eq(t, 2, log.reads)
	})
}
