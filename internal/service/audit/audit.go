// Package audit records the actions of operators, successful, refused and
// failed alike, in a stream of the platform's log.
//
// Entries wait in a bounded queue in memory, so recording does not block while
// the log is slow or unavailable. An append whose response was lost is repeated,
// so the log may hold an entry twice; readers drop the duplicate by its ID.
// Entries are lost if the queue overflows or the process ends before they are
// appended.
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

// Stream is the log stream of audit entries. Each record is one Entry in JSON.
const Stream = "audit"

const (
	// maxQueuedEntries bounds the entries that wait for the log. When the queue
	// is full, the oldest entries are dropped and counted.
	maxQueuedEntries = 4096
	// maxBatchEntries bounds the entries of one append.
	maxBatchEntries = 64
	flushPeriod     = time.Second
	appendTimeout   = 3 * time.Second
)

func init() {
	kernel.Register(Name, func() kernel.Service { return new(Service) })
}

// Outcome is the result of an operator action.
type Outcome string

// Outcomes of operator actions.
const (
	// OutcomeDone means that the action took effect.
	OutcomeDone Outcome = "done"
	// OutcomeRefused means that the action was rejected.
	OutcomeRefused Outcome = "refused"
	// OutcomeFailed means that the action failed with an error.
	OutcomeFailed Outcome = "failed"
	// OutcomeUnknown means that the action may have taken effect.
	OutcomeUnknown Outcome = "unknown"
)

// Entry describes one operator action, whatever its outcome.
type Entry struct {
	// ID identifies the entry; readers drop duplicates by it.
	ID string `json:"id"`
	// At is the time at which the entry was recorded, in UTC.
	At time.Time `json:"at"`
	// Operator, Member and Role identify the operator.
	Operator string       `json:"operator"`
	Member   fleet.Member `json:"member,omitempty"`
	Role     string       `json:"role,omitempty"`
	// From is the address that the request came from.
	From string `json:"from,omitempty"`
	// VM and Site are those of the router that recorded the entry.
	VM   fleet.VM   `json:"vm"`
	Site fleet.Site `json:"site"`
	// Action names the operation and Subject the object that it applied to.
	Action  string  `json:"action"`
	Subject string  `json:"subject,omitempty"`
	Outcome Outcome `json:"outcome"`
	// Detail is the comment of a change or the reason for its refusal.
	Detail string `json:"detail,omitempty"`
	// Version is the log offset of the configuration version that the action
	// concerns, or zero if there is none.
	Version uint64 `json:"version,omitempty"`
}

// Auditor records and reads audit entries.
type Auditor interface {
	// Record queues an entry for the log without waiting for the log. It sets
	// the fields ID, At, VM and Site.
	Record(e Entry)
	// Recent reads the last limit records of the log, newest first. It returns
	// fewer entries if some records are duplicates or cannot be decoded.
	Recent(ctx context.Context, limit int) ([]Entry, error)
}

// Service is an Auditor that appends its queue to the log in batches.
type Service struct {
	log     logstream.Log
	id      identity.Identity
	clock   kernel.Clock
	logger  *logrus.Entry
	dropped metrics.Counter

	mu    sync.Mutex
	queue []Entry
	// flushMu serializes flushes to keep the entries in order.
	flushMu sync.Mutex
}

// Name returns the service's name.
func (*Service) Name() string { return Name }

// Provision looks up the log client and the identity of this router.
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

// Start begins to append queued entries to the log once every flushPeriod.
func (s *Service) Start(ctx context.Context) error {
	go kernel.Every(ctx, s.clock, flushPeriod, func(time.Time) { s.flush(ctx) })
	return nil
}

// Drain appends the queued entries. It reports no error; a failed append is
// logged and leaves the entries in the queue.
func (s *Service) Drain(ctx context.Context) error {
	s.flush(ctx)
	return nil
}

// Record writes the entry to the process log and queues it for the audit
// stream.
func (s *Service) Record(e Entry) {
	self := s.id.Self()
	e.ID, e.At, e.VM, e.Site = uuid.NewString(), s.clock.Now().UTC(), self.VM, self.Site
	s.logger.WithFields(logrus.Fields{
		"operator": e.Operator, "action": e.Action, "subject": e.Subject, "outcome": e.Outcome,
	}).Info("Operator action recorded.")
	s.mu.Lock()
	defer s.mu.Unlock()
	s.queue = append(s.queue, e)
	if excess := len(s.queue) - maxQueuedEntries; excess > 0 {
		s.queue = s.queue[excess:]
		s.dropped.Inc(int64(excess))
	}
}

// flush appends batches until the queue is empty, an append fails or ctx ends.
// A batch whose append failed stays in the queue and is appended again by a
// later flush. If only the response was lost, the log then holds its entries
// twice; Recent drops the duplicates by ID.
func (s *Service) flush(ctx context.Context) {
	s.flushMu.Lock()
	defer s.flushMu.Unlock()
	for ctx.Err() == nil {
		batch := s.nextBatch()
		if len(batch) == 0 {
			return
		}
		if err := s.append(ctx, batch); err != nil {
			s.logger.WithError(err).Warn("Cannot append audit entries to the log; they remain queued.")
			return
		}
		s.remove(batch)
	}
}

// nextBatch returns a copy of the oldest queued entries and leaves them queued.
func (s *Service) nextBatch() []Entry {
	s.mu.Lock()
	defer s.mu.Unlock()
	return append([]Entry(nil), s.queue[:min(len(s.queue), maxBatchEntries)]...)
}

// remove takes an appended batch off the queue. Record may have dropped some or
// all of its entries in the meantime.
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

// append writes a batch to the audit stream in one append to the log.
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
	defer s.clock.AfterFunc(appendTimeout, cancel)()
	_, err := s.log.Append(ctx, Stream, records...)
	return err
}

// Recent reads the last limit records of the audit stream, newest first,
// without duplicates and records that cannot be decoded.
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
