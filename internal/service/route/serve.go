package route

import (
	"context"
	"errors"
	"time"

	"github.com/zinniafork/zinniafork/internal/call"
	"github.com/zinniafork/zinniafork/internal/fleet"
)

// serve runs a request whose target this router owns, for another router.
func (s *Service) serve(ctx context.Context, _ fleet.VM, req *call.Request, sink call.Sink) error {
	return s.runOwned(ctx, req, sink)
}

// runOwned runs a request on the target that it names, which this router is
// believed to own.
func (s *Service) runOwned(ctx context.Context, req *call.Request, sink call.Sink) error {
	chat := s.remembered(req)
	home := s.home(chat)
	if home != "" && home != req.Target && !req.Recalled {
		s.meters.recalled.Inc(1)
		return redirect(req, home)
	}
	if home == "" && chat != 0 {
		if err := s.spread(req, chat); err != nil {
			return err
		}
	}
	pass, err := s.targets.Admit(ctx, req, s.patience(req, home))
	if err != nil {
		return s.advise(req, chat, err)
	}
	if chat != 0 && home != req.Target {
		s.targets.SetChatTarget(chat, req.Target)
	}
	return pass.Run(ctx, req, sink)
}

// remembered returns the chat of a request that is at the first target of its
// order, zero when the policy remembers none.
func (s *Service) remembered(req *call.Request) uint64 {
	if !s.rules.ChatAffinity || req.Place != 0 || req.Wait {
		return 0
	}
	return chatKey(req)
}

// home returns the target that a chat went to last, empty when none is known.
func (s *Service) home(chat uint64) fleet.Target {
	if chat == 0 {
		return ""
	}
	home, _ := s.targets.ChatTarget(chat)
	return home
}

// patience returns how long a request may wait for its target: long when it
// was sent to wait, a little when the target has its chat in cache.
func (s *Service) patience(req *call.Request, home fleet.Target) time.Duration {
	rules := s.config.Current().Load
	switch {
	case req.Wait:
		return rules.QueueWait.Std()
	case home == req.Target || req.Recalled && req.Place > 0:
		return rules.StickyWait.Std()
	default:
		return 0
	}
}

// advise adds the next target to the refusal of a request that is at its first
// target, and remembers where the chat goes.
func (s *Service) advise(req *call.Request, chat uint64, err error) error {
	var e *call.Error
	if !errors.As(err, &e) || e.Code != call.CodeOverloaded || chat == 0 {
		return err
	}
	r := s.rank(req)
	next := r.lightest(req.Target)
	if next < 0 {
		return err
	}
	e.Next = r.place(next)
	s.targets.SetChatTarget(chat, e.Next)
	s.meters.spilled.Inc(1)
	return e
}

// spread sends a new chat, which has no prompt in any cache yet, to a target of
// the first few that has clearly less load, so that later returns of chats find
// room where they were.
func (s *Service) spread(req *call.Request, chat uint64) error {
	r := s.rank(req)
	own := r.find(req.Target)
	best := r.lightest(req.Target)
	if own < 0 || best < 0 || r.load(own)-r.load(best) < s.rules.SpreadStep {
		return nil
	}
	s.targets.SetChatTarget(chat, r.place(best))
	s.meters.spilled.Inc(1)
	return redirect(req, r.place(best))
}

// stepPlacement is the step of errors that send a chat to where it went last.
const stepPlacement = "placement"

func redirect(req *call.Request, home fleet.Target) *call.Error {
	return &call.Error{
		Code:    call.CodeOverloaded,
		Message: "chat is at another target",
		Step:    stepPlacement,
		Peer:    string(req.Target),
		Run:     call.RunNot,
		Next:    home,
	}
}
