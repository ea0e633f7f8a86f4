package owner

import (
	"context"
	"errors"
	"net/http"
	"strconv"
	"time"

	"github.com/zinniafork/zinniafork/internal/call"
)

// headerIncarnation is the header in which a target tells its incarnation.
const headerIncarnation = "X-Incarnation"

// Permit is the right to send one request to a target.
type Permit struct {
	service *Service
	target  *ownedTarget
	id      uint64
}

// Run sends the request and gives the slot back when it has ended.
func (p *Permit) Run(ctx context.Context, req *call.Request, sink call.Sink) error {
	w := &watchSink{Sink: sink, pass: p, began: p.service.clock.Now()}
	err := p.target.client.Run(ctx, req, w)
	p.done(w, err)
	return err
}

// done takes the end of the request.
func (p *Permit) done(w *watchSink, err error) {
	s := p.service
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.clock.Now()
	s.judge(p.target, err)
	s.apply(p.target, p.target.admission.Finish(now, p.id, err == nil && w.ended))
}

// judge takes signs of the target's health from a failed request.
func (s *Service) judge(t *ownedTarget, err error) {
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

// watchSink notes the first part of an answer and the target's incarnation.
type watchSink struct {
	call.Sink
	pass  *Permit
	began time.Time
	first bool
	ended bool
}

// Head looks at the incarnation.
func (w *watchSink) Head(h call.Head) error {
	w.pass.seen(h.Header)
	return w.Sink.Head(h)
}

// Chunk notes the time of the first part.
func (w *watchSink) Chunk(c call.Chunk) error {
	if !w.first {
		w.first = true
		w.pass.firstToken(w.began)
	}
	return w.Sink.Chunk(c)
}

// End notes that the answer was whole.
func (w *watchSink) End(e call.End) error {
	w.ended = true
	return w.Sink.End(e)
}

func (p *Permit) seen(h http.Header) {
	incarnation, err := strconv.ParseUint(h.Get(headerIncarnation), 10, 64)
	if err != nil {
		return
	}
	s := p.service
	s.mu.Lock()
	defer s.mu.Unlock()
	if p.target.admission.Health().ObserveIncarnation(s.clock.Now(), incarnation) {
		s.turnedCold(p.target)
	}
}

func (p *Permit) firstToken(began time.Time) {
	s := p.service
	s.mu.Lock()
	defer s.mu.Unlock()
	if p.target.admission.Health().RecordFirstToken(s.clock.Now().Sub(began)) {
		signal(p.target.probeNow)
	}
}
