package route

import (
	"context"
	"errors"

	"github.com/zinniafork/zinniafork/internal/call"
	"github.com/zinniafork/zinniafork/internal/core/fleet"
)

// serve runs a request whose target this router owns, for another router.
func (s *Service) serve(ctx context.Context, _ fleet.VM, req *call.Request, sink call.Sink) error {
	return s.runOwned(ctx, req, sink)
}

// runOwned runs a request on the target that it names, which this router is
// believed to own.
func (s *Service) runOwned(ctx context.Context, req *call.Request, sink call.Sink) error {
	chat := s.remembered(req)
	if chat != 0 {
		if err := s.recall(req, chat); err != nil {
			return err
		}
	}
	pass, err := s.targets.Enter(ctx, req)
	if err != nil {
		return s.advise(req, chat, err)
	}
	return pass.Run(ctx, req, sink)
}

// remembered returns the chat of a request that is at the first target of its
// order, zero when the policy remembers none.
func (s *Service) remembered(req *call.Request) uint64 {
	if !s.rules.Remembers || req.Place != 0 || req.Wait {
		return 0
	}
	return chatKey(req)
}

// recall sends a chat that went to another target before to that one, when it
// has room.
func (s *Service) recall(req *call.Request, chat uint64) error {
	before, ok := s.targets.Recall(chat)
	if !ok || before == req.Target {
		return nil
	}
	r := s.rank(req)
	place := r.find(before)
	if place < 0 || !r.hasRoom(place) {
		return nil
	}
	s.meters.recalled.Inc(1)
	return redirect(req, before, "chat is at another target")
}

// advise adds the next target to the refusal of a request that is at its first
// target, and remembers where the chat goes.
func (s *Service) advise(req *call.Request, chat uint64, err error) error {
	var e *call.Error
	if !errors.As(err, &e) || e.Code != call.CodeOverloaded || req.Wait || chat == 0 {
		return err
	}
	r := s.rank(req)
	next := r.roomAfter(0, map[fleet.Target]bool{req.Target: true})
	if next < 0 {
		return err
	}
	e.Next = r.place(next)
	s.targets.Remember(chat, e.Next)
	s.meters.spilled.Inc(1)
	return e
}

func redirect(req *call.Request, next fleet.Target, why string) *call.Error {
	return &call.Error{
		Code:    call.CodeOverloaded,
		Message: why,
		Step:    "placement",
		Peer:    string(req.Target),
		Run:     call.RunNot,
		Next:    next,
	}
}
