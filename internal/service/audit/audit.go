// Package audit keeps the record of what operators changed and what they were
// refused, on a stream of the platform's log.
package audit

import (
	"context"
	"encoding/json"
	"sync"
	"time"

	"github.com/google/uuid"
	"github.com/rcrowley/go-metrics"
	"github.com/sirupsen/logrus"

	"github.com/zinniafork/zinniafork/internal/fleet"
	"github.com/zinniafork/zinniafork/internal/kernel"
	"github.com/zinniafork/zinniafork/internal/platform/logstream"
	"github.com/zinniafork/zinniafork/internal/service/identity"
	"github.com/zinniafork/zinniafork/internal/service/platform"
)

// Name is the service's name in the kernel.
const Name = "audit"

// Stream is the log stream of audit entries, one JSON object a record.
const Stream = "audit"

const (
	// queueLimit bounds the entries that wait for the log. Beyond it the
	// oldest are dropped and counted.
	queueLimit  = 4096
	batchLimit  = 64
	flushPeriod = time.Second
	appendLimit = 3 * time.Second
)

func init() {
	kernel.Register(Name, func() kernel.Service { return new(Service) })
}

// Outcome is how an attempt ended.
type Outcome string

// Outcomes of attempts.
const (
	OutcomeDone    Outcome = "done"
	OutcomeRefused Outcome = "refused"
	OutcomeFailed  Outcome = "failed"
	// OutcomeUnknown means that the change may have taken effect.
	OutcomeUnknown Outcome = "unknown"
)

// Entry is one attempt of an operator.
type Entry struct {
	ID       string       `json:"id"`
	At       time.Time    `json:"at"`
	Operator string       `json:"operator"`
	Member   fleet.Member `json:"member,omitempty"`
	Role     string       `json:"role,omitempty"`
	// From is the address that the attempt came from.
	From string     `json:"from,omitempty"`
	VM   fleet.VM   `json:"vm"`
	Site fleet.Site `json:"site"`
	// Action names what was tried, Subject on what.
	Action  string  `json:"action"`
	Subject string  `json:"subject,omitempty"`
	Outcome Outcome `json:"outcome"`
	// Detail is the comment of a change or the reason of a refusal.
	Detail string `json:"detail,omitempty"`
	// Version is the log offset of the configuration version, zero for none.
	Version uint64 `json:"version,omitempty"`
}

// Auditor records and reads entries.
type Auditor interface {
	// Record queues an entry; it never blocks. ID, time, VM and site are
	// filled in.
	Record(e Entry)
	// Recent reads the newest entries from the log, the newest first.
	Recent(ctx context.Context, limit int) ([]Entry, error)
}

// Service appends entries to the log in groups.
type Service struct {
	log     logstream.Log
	id      identity.Identity
	clock   kernel.Clock
	logger  *logrus.Entry
	dropped metrics.Counter

	mu    sync.Mutex
	queue []Entry
	// flushing lets one flush run at a time, so that entries keep their order.
	flushing sync.Mutex
}

// Name returns the service's name.
func (*Service) Name() string { return Name }

// Provision looks up the log and the identity.
func (s *Service) Provision(c *kernel.Context) error {
	p, err := kernel.Lookup[platform.Platform](c, platform.Name)
	if err != nil {
		return err
	}
	if s.id, err = kernel.Lookup[identity.Identity](c, identity.Name); err != nil {
		return err
	}
	s.log, s.clock, s.logger = p.Log(), c.Clock, c.Logger()
	s.dropped = metrics.GetOrRegisterCounter("audit.dropped", c.Metrics)
	return nil
}

// Start appends queued entries in the background.
func (s *Service) Start(ctx context.Context) error {
	go kernel.Every(ctx, s.clock, flushPeriod, func(time.Time) { s.flush(ctx) })
	return nil
}

// Drain appends what is queued.
func (s *Service) Drain(ctx context.Context) error {
	s.flush(ctx)
	return nil
}

// Record queues an entry.
func (s *Service) Record(e Entry) {
	self := s.id.Self()
	e.ID, e.At, e.VM, e.Site = uuid.NewString(), s.clock.Now().UTC(), self.VM, self.Site
	s.logger.WithFields(logrus.Fields{
		"operator": e.Operator, "action": e.Action, "subject": e.Subject, "outcome": e.Outcome,
	}).Info("Operator action.")
	s.mu.Lock()
	defer s.mu.Unlock()
	s.queue = append(s.queue, e)
	if over := len(s.queue) - queueLimit; over > 0 {
		s.queue = s.queue[over:]
		s.dropped.Inc(int64(over))
	}
}

// flush appends one group after the other until the queue is empty or the log
// fails. An entry whose append got no answer is appended again; its ID tells
// readers.
func (s *Service) flush(ctx context.Context) {
	s.flushing.Lock()
	defer s.flushing.Unlock()
	for ctx.Err() == nil {
		batch := s.peek()
		if len(batch) == 0 {
			return
		}
		if err := s.append(ctx, batch); err != nil {
			s.logger.WithError(err).Warn("Cannot append audit entries.")
			return
		}
		s.remove(batch)
	}
}

func (s *Service) peek() []Entry {
	s.mu.Lock()
	defer s.mu.Unlock()
	return append([]Entry(nil), s.queue[:min(len(s.queue), batchLimit)]...)
}

// remove drops the batch, of which some entries may have been dropped already.
func (s *Service) remove(batch []Entry) {
	last := batch[len(batch)-1].ID
	s.mu.Lock()
	defer s.mu.Unlock()
	for i, e := range s.queue {
		if e.ID == last {
			s.queue = s.queue[i+1:]
			return
		}
	}
}

func (s *Service) append(ctx context.Context, batch []Entry) error {
	records := make([][]byte, 0, len(batch))
	for _, e := range batch {
		data, err := json.Marshal(e)
		if err != nil {
			return err
		}
		records = append(records, data)
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	defer s.clock.AfterFunc(appendLimit, cancel)()
	_, err := s.log.Append(ctx, Stream, records...)
	return err
}

// Recent reads the newest entries.
func (s *Service) Recent(ctx context.Context, limit int) ([]Entry, error) {
	page, err := s.log.Read(ctx, Stream, 0, 1, 0)
	if err != nil {
		return nil, err
	}
	from := page.Earliest
	if page.Next > uint64(limit) {
		from = max(from, page.Next-uint64(limit))
	}
	if page, err = s.log.Read(ctx, Stream, from, limit, 0); err != nil {
		return nil, err
	}
	var out []Entry
	seen := make(map[string]bool)
	for i := len(page.Records) - 1; i >= 0; i-- {
		var e Entry
		if err := json.Unmarshal(page.Records[i].Data, &e); err != nil || seen[e.ID] {
			continue
		}
		seen[e.ID] = true
		out = append(out, e)
	}
	return out, nil
}

// Interface guards.
var (
	_ Auditor            = (*Service)(nil)
	_ kernel.Provisioner = (*Service)(nil)
	_ kernel.Starter     = (*Service)(nil)
	_ kernel.Drainer     = (*Service)(nil)
)
