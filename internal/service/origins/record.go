package origins

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"time"

	"github.com/zinniafork/zinniafork/internal/call"
	"github.com/zinniafork/zinniafork/internal/core/origin"
	"github.com/zinniafork/zinniafork/internal/core/ratelimit"
	"github.com/zinniafork/zinniafork/internal/fleet"
	"github.com/zinniafork/zinniafork/internal/service/peer"
	"github.com/zinniafork/zinniafork/internal/wire"
)

const (
	// recordTimeout is the longest time that the first event of a stream waits until its
	// origin is recorded.
	recordTimeout = 150 * time.Millisecond
	// mustRecordTimeout is that of a stream which would be taken for one of another version.
	// The first recorder may just have been lost.
	mustRecordTimeout = 700 * time.Millisecond
	// sendDelay is the time in which origins are collected before they are sent to a
	// recorder, sendTimeout limits its answer, and sendRetry is the wait after one that did
	// not answer. maxSending is the number of messages that are under way.
	sendDelay   = 5 * time.Millisecond
	sendTimeout = 400 * time.Millisecond
	sendRetry   = 50 * time.Millisecond
	maxSending  = 16
	// tellPeriod is the time in which origins of services with one version are collected
	// before a holder is told.
	tellPeriod = 500 * time.Millisecond
	// writePeriod is the shortest time between two batches that a recorder writes to the
	// log, writeTimeout limits one write, and writeRetry is the wait after a failed one.
	// writeWait is the longest time that a recorder's answer waits for a write.
	writePeriod  = 50 * time.Millisecond
	writeTimeout = time.Second
	writeRetry   = 300 * time.Millisecond
	writeWait    = 200 * time.Millisecond
	// settleTime is the time after its start in which a router may not know the others yet,
	// and does not write versions.
	settleTime = 2 * time.Second
	// maxBatch is the number of origins in one message or record.
	maxBatch = 4096
	// slots is the number of slots of a recorder in the log. A slot is used again only
	// after twice origin.HistoryTime.
	slots = int64(2 * origin.HistoryTime / writePeriod)
	// versionsSlot is the slot of the versions of all services.
	versionsSlot = "versions"
)

// Began records the origin of the stream that an attempt has begun.
func (s *Service) Began(ctx context.Context, attempt string, o origin.Origin) {
	id := streamOf(attempt)
	s.mu.Lock()
	now, timeout := s.clock.Now(), recordTimeout
	recorded := s.tracker.Began(now, id, o)
	if s.tracker.MustRecord(now, o) {
		timeout = mustRecordTimeout
	}
	if !recorded {
		s.mu.Unlock()
		return
	}
	done := make(chan struct{})
	s.waiting[id] = done
	s.mu.Unlock()
	wake(s.sendWake)
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	stop := s.clock.AfterFunc(timeout, cancel)
	defer stop()
	select {
	case <-done:
	case <-ctx.Done():
		s.mu.Lock()
		defer s.mu.Unlock()
		delete(s.waiting, id)
	}
}

// sendLoop sends origins to their recorders until ctx ends.
func (s *Service) sendLoop(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-s.sendWake:
		}
		if s.clock.Sleep(ctx, sendDelay) != nil {
			return
		}
		s.sendUnsent(ctx)
	}
}

// sendUnsent sends what began here to the recorders, without waiting for their answers.
func (s *Service) sendUnsent(ctx context.Context) {
	s.mu.Lock()
	records := s.tracker.TakeUnsent()
	all := s.recorders()
	s.mu.Unlock()
	byRecorder := make(map[fleet.VM][]origin.Record)
	for _, r := range records {
		vm := all[uint64(r.Stream)%uint64(len(all))]
		byRecorder[vm] = append(byRecorder[vm], r)
	}
	for vm, list := range byRecorder {
		for part := range slices.Chunk(list, maxBatch) {
			select {
			case <-ctx.Done():
				return
			case s.sending <- struct{}{}:
			}
			go s.send(ctx, vm, part)
		}
	}
}

// send sends origins to a recorder, which may be this router. Those that it did not take
// are sent again, to the next recorder.
func (s *Service) send(ctx context.Context, to fleet.VM, records []origin.Record) {
	defer func() { <-s.sending }()
	var err error
	if to == s.self {
		s.record(ctx, records)
	} else {
		_, err = s.query(ctx, to, &query{Groups: encodeGroups(records)}, sendTimeout)
	}
	if err == nil {
		s.taken(records)
		return
	}
	s.recorderFailed(to, err)
	s.mu.Lock()
	s.tracker.Unsent(records)
	s.mu.Unlock()
	if s.clock.Sleep(ctx, sendRetry) == nil {
		wake(s.sendWake)
	}
}

// tellHolder tells another router what began here at services of one version. Without it
// nobody knows these streams once this router is lost and another version starts.
func (s *Service) tellHolder(ctx context.Context) {
	s.mu.Lock()
	holder := s.holder()
	if holder == "" {
		s.mu.Unlock()
		return // they wait for one
	}
	records := s.tracker.TakeUntold()
	s.mu.Unlock()
	if len(records) == 0 {
		return
	}
	if _, err := s.query(ctx, holder, &query{Groups: encodeGroups(records), Holds: true}, sendTimeout); err != nil {
		s.recorderFailed(holder, err)
		s.mu.Lock()
		s.tracker.Untold(records)
		s.mu.Unlock()
		return
	}
	s.metrics.told.Inc(int64(len(records)))
}

// holder returns the router that holds what begins here: the recorder, which is asked
// first, or the next in its ranking, where possible in another data centre than this
// router. It is empty without another router. The caller holds the lock.
func (s *Service) holder() fleet.VM {
	others := slices.DeleteFunc(slices.Clone(s.routers), func(vm fleet.VM) bool { return vm == s.self })
	far := slices.DeleteFunc(slices.Clone(others), func(vm fleet.VM) bool { return s.dataCentres[vm] == s.dataCentres[s.self] })
	usable := s.asker.Usable(s.clock.Now())
	if vm := ratelimit.First(0, far, usable); vm != "" {
		return vm
	}
	return ratelimit.First(0, others, usable)
}

// hold takes origins for another router.
func (s *Service) hold(records []origin.Record) {
	s.mu.Lock()
	record := s.tracker.Hold(s.clock.Now(), records)
	s.mu.Unlock()
	if record {
		wake(s.sendWake)
	}
}

// taken lets the streams go on whose origins a recorder has taken.
func (s *Service) taken(records []origin.Record) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, r := range records {
		if done, ok := s.waiting[r.Stream]; ok {
			close(done)
			delete(s.waiting, r.Stream)
		}
	}
}

// record takes origins for the log, and waits until they are written there. It does not
// wait while the log fails.
func (s *Service) record(ctx context.Context, records []origin.Record) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	stop := s.clock.AfterFunc(writeWait, cancel)
	defer stop()
	s.mu.Lock()
	now := s.clock.Now()
	s.tracker.Learn(now, now, records)
	last := s.queue.Add(records)
	s.mu.Unlock()
	wake(s.writeWake)
	for {
		s.mu.Lock()
		written, wrote := s.queue.IsWritten(last) || s.writeFailed, s.wrote
		s.mu.Unlock()
		if written {
			return
		}
		select {
		case <-ctx.Done():
			return
		case <-wrote:
		}
	}
}

// query sends a query to another router.
func (s *Service) query(ctx context.Context, to fleet.VM, q *query, timeout time.Duration) (*reply, error) {
	payload, err := wire.Marshal(q)
	if err != nil {
		return nil, fmt.Errorf("encode query of origins: %w", err)
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	stop := s.clock.AfterFunc(timeout, cancel)
	defer stop()
	data, err := s.peers.Query(ctx, to, peer.KindOrigin, payload)
	if err != nil {
		return nil, fmt.Errorf("query origins of %s: %w", to, err)
	}
	out := new(reply)
	if err := wire.Unmarshal(data, out); err != nil {
		return nil, fmt.Errorf("decode origin of %s: %w", to, err)
	}
	return out, nil
}

// recorderFailed records that a router did not answer, so that the next one in the ranking
// is the recorder. That one may lack what this one has taken.
func (s *Service) recorderFailed(vm fleet.VM, err error) {
	var failure *call.Error
	unsupported := errors.As(err, &failure) && failure.Code == call.CodeNotFound
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.asker.Failed(s.clock.Now(), vm, unsupported) {
		s.logger.WithError(err).WithField("peer", vm).Warn("Router records no origins of streams.")
		s.tracker.Requeue()
		wake(s.sendWake)
	}
}

// handleQuery answers another router.
func (s *Service) handleQuery(ctx context.Context, from fleet.VM, payload []byte) ([]byte, error) {
	var q query
	err := wire.Unmarshal(payload, &q)
	var records []origin.Record
	if err == nil {
		records, err = decodeGroups(q.Groups)
	}
	if err != nil {
		return nil, &call.Error{Code: call.CodeBadRequest, Step: Name, Peer: string(from), Run: call.RunNot, Message: "decode query of origins: " + err.Error()}
	}
	switch {
	case len(records) > 0 && q.Holds:
		s.hold(records)
	case len(records) > 0:
		s.record(ctx, records)
	}
	var out reply
	if q.Asks {
		look := s.findHere
		if q.Brief {
			look = s.findKnown
		}
		o, verdict := look(ctx, origin.Stream(q.Stream), q.Service)
		out = reply{Verdict: uint8(verdict), Service: o.Service, Version: o.Version}
	}
	return wire.Marshal(&out)
}

// writeLoop writes the origins that this router records to the log until ctx ends.
func (s *Service) writeLoop(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-s.writeWake:
		}
		s.writeVersions(ctx)
		for s.writeBatch(ctx) {
			continue
		}
	}
}

// versionsDue reports whether this router is to write the versions of services. The caller
// holds the lock.
func (s *Service) versionsDue(now time.Time) bool {
	return s.recorders()[0] == s.self && now.Sub(s.startedAt) >= settleTime &&
		(!slices.Equal(s.versions, s.tracker.Versions(now)) || !slices.Equal(s.bases, s.tracker.Bases(now)))
}

// writeVersions writes the versions of services if they have changed. What other routers
// have written is read before it is replaced. If that fails, it is tried again after
// expirePeriod.
func (s *Service) writeVersions(ctx context.Context) {
	s.mu.Lock()
	due, first := s.versionsDue(s.clock.Now()), s.versions == nil
	s.mu.Unlock()
	if !due || first && !s.readLog(ctx) {
		return
	}
	s.mu.Lock()
	now := s.clock.Now()
	versions, bases, era := s.tracker.Versions(now), s.tracker.Bases(now), s.position.Era
	s.mu.Unlock()
	b := &batch{AtMS: now.UnixMilli(), Versions: versions, Bases: encodeBases(bases), Era: &era}
	if err := s.write(ctx, versionsSlot, b); err != nil {
		s.logger.WithError(err).Warn("Cannot write versions of targets to the log.")
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.versions, s.bases = versions, bases
}

// writeBatch writes one batch to the slot of the present time, and reports whether there
// may be more.
func (s *Service) writeBatch(ctx context.Context) bool {
	s.mu.Lock()
	records := s.queue.First(maxBatch)
	s.mu.Unlock()
	if len(records) == 0 {
		return false
	}
	now := s.clock.Now().UnixMilli()
	slot := fmt.Sprintf("%s/%d", s.self, now/writePeriod.Milliseconds()%slots)
	err := s.write(ctx, slot, &batch{AtMS: now, Groups: encodeGroups(records)})
	s.mu.Lock()
	if err == nil {
		s.queue.Written(len(records))
	}
	s.writeFailed = err != nil
	close(s.wrote)
	s.wrote = make(chan struct{})
	s.mu.Unlock()
	wait := writePeriod
	if err != nil {
		s.logger.WithError(err).Warn("Cannot write origins of streams to the log.")
		wait = writeRetry
	}
	return s.clock.Sleep(ctx, wait) == nil
}

// write writes a batch to a slot.
func (s *Service) write(ctx context.Context, slot string, b *batch) error {
	payload, err := wire.Marshal(b)
	if err != nil {
		return fmt.Errorf("encode origins: %w", err)
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	stop := s.clock.AfterFunc(writeTimeout, cancel)
	defer stop()
	if err := s.log.WriteOrigins(ctx, slot, payload); err != nil {
		return fmt.Errorf("write origins: %w", err)
	}
	s.metrics.batches.Inc(1)
	return nil
}
