package owner

import (
	"context"
	"errors"
	"net/http"
	"strconv"
	"time"

	"github.com/zinniafork/zinniafork/internal/call"
)

// headerIncarnation is the response header with the incarnation of a target, a
// number that changes when the target restarts.
const headerIncarnation = "X-Incarnation"

// Permit allows one request to be sent to a target. It occupies a slot of the
// target until Run has returned.
type Permit struct {
	service *Service
	target  *ownedTarget
	id      uint64
}

// Run sends the request, passes the response to sink, and releases the slot
// when the request has ended.
func (p *Permit) Run(ctx context.Context, req *call.Request, sink call.Sink) error {
	w := &observingSink{Sink: sink, permit: p, startedAt: p.service.clock.Now()}
	err := p.target.client.Run(ctx, req, w)
	p.finish(w, err)
	return err
}

// finish records the end of the request and releases the slot.
func (p *Permit) finish(w *observingSink, err error) {
	s := p.service
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.clock.Now()
	s.recordFailure(p.target, err)
	s.apply(p.target, p.target.admission.Finish(now, p.id, err == nil && w.ended))
}

// recordFailure updates the target's health after a failed request and requests
// an immediate probe. Errors that say nothing about the target's health are
// ignored.
func (s *Service) recordFailure(t *ownedTarget, err error) {
	var e *call.Error
	if err == nil || !errors.As(err, &e) {
		return
	}
	switch e.Code {
	case call.CodeUnavailable, call.CodeCut:
		t.admission.Health().RecordFailure()
		signal(t.probeNow)
	case call.CodeOverloaded:
		t.admission.Health().RecordOverload(s.clock.Now())
		signal(t.probeNow)
	}
}

func signal(c chan struct{}) {
	select {
	case c <- struct{}{}:
	default:
	}
}

// observingSink passes a response on and records the target's incarnation, the
// time to the first chunk and whether the response is complete.
type observingSink struct {
	call.Sink
	permit    *Permit
	startedAt time.Time
	gotChunk  bool
	ended     bool
}

// Head records the incarnation and passes the head on.
func (w *observingSink) Head(h call.Head) error {
	w.permit.observeIncarnation(h.Header)
	return w.Sink.Head(h)
}

// Chunk records the time to the first chunk and passes the chunk on.
func (w *observingSink) Chunk(c call.Chunk) error {
	if !w.gotChunk {
		w.gotChunk = true
		w.permit.observeFirstToken(w.startedAt)
	}
	return w.Sink.Chunk(c)
}

// End records that the response is complete and passes the end on.
func (w *observingSink) End(e call.End) error {
	w.ended = true
	return w.Sink.End(e)
}

func (p *Permit) observeIncarnation(h http.Header) {
	incarnation, err := strconv.ParseUint(h.Get(headerIncarnation), 10, 64)
	if err != nil {
		return
	}
	s := p.service
	s.mu.Lock()
	defer s.mu.Unlock()
	if p.target.admission.Health().ObserveIncarnation(s.clock.Now(), incarnation) {
		s.targetTurnedCold(p.target)
	}
}

func (p *Permit) observeFirstToken(startedAt time.Time) {
	s := p.service
	s.mu.Lock()
	defer s.mu.Unlock()
	if p.target.admission.Health().RecordFirstToken(s.clock.Now().Sub(startedAt)) {
		signal(p.target.probeNow)
	}
}
