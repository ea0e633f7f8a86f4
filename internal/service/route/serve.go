package route

import (
	"context"
	"errors"
	"time"

	"github.com/zinniafork/zinniafork/internal/call"
	"github.com/zinniafork/zinniafork/internal/fleet"
)

// serve runs a request that another router sent to this router as the owner of the
// request's target.
func (s *Service) serve(ctx context.Context, _ fleet.VM, req *call.Request, sink call.Sink) error {
	return s.runOwned(ctx, req, sink)
}

// runOwned runs a request at its target, which the sender believes to be owned by
// this router. The error is a redirect if the chat of the request is assigned to
// another target.
func (s *Service) runOwned(ctx context.Context, req *call.Request, sink call.Sink) error {
	chat := s.affinityChat(req)
	chatTarget := s.chatTarget(chat)
	if chatTarget != "" && chatTarget != req.Target && !req.Recalled {
		s.meters.recalled.Inc(1)
		return redirectError(req, chatTarget)
	}
	if chatTarget == "" && chat != 0 {
		if err := s.spreadNewChat(req, chat); err != nil {
			return err
		}
	}
	permit, err := s.targets.Admit(ctx, req, s.maxWait(req, chatTarget))
	if err != nil {
		return s.redirectRefused(req, chat, err)
	}
	if chat != 0 && chatTarget != req.Target {
		s.targets.SetChatTarget(chat, req.Target)
	}
	return permit.Run(ctx, req, sink)
}

// affinityChat returns the hash of the chat of a request whose target ranks first
// for it. It is zero for other targets, for queued requests, and if the policy has
// no chat affinity.
func (s *Service) affinityChat(req *call.Request) uint64 {
	if !s.rules.ChatAffinity || req.Place != 0 || req.Wait {
		return 0
	}
	return chatHash(req)
}

// chatTarget returns the target that the chat used last, empty if none is known.
func (s *Service) chatTarget(chat uint64) fleet.Target {
	if chat == 0 {
		return ""
	}
	target, _ := s.targets.ChatTarget(chat)
	return target
}

// maxWait returns the longest time that a request may wait for its target: the
// queue wait if it was sent there to wait, the shorter sticky wait if the target
// has the chat in its cache, and zero otherwise.
func (s *Service) maxWait(req *call.Request, chatTarget fleet.Target) time.Duration {
	rules := s.config.Current().Load
	switch {
	case req.Wait:
		return rules.QueueWait.Std()
	case chatTarget == req.Target || req.Recalled && req.Place > 0:
		return rules.StickyWait.Std()
	default:
		return 0
	}
}

// redirectRefused adds the least loaded target to the refusal of a request at its
// first-ranked target, and records that target for the chat. Other errors are
// returned as they are.
func (s *Service) redirectRefused(req *call.Request, chat uint64, err error) error {
	var e *call.Error
	if !errors.As(err, &e) || e.Code != call.CodeOverloaded || chat == 0 {
		return err
	}
	r := s.rank(req)
	next := r.leastLoaded(req.Target)
	if next < 0 {
		return err
	}
	e.Next = r.target(next)
	s.targets.SetChatTarget(chat, e.Next)
	s.meters.spilled.Inc(1)
	return e
}

// spreadNewChat redirects a new chat, which has no prompt in any cache yet, to one
// of the first-ranked targets whose load per slot is lower by at least
// Rules.SpreadStep. This leaves room for later requests of chats at the targets
// that have them in cache. A nil error means that the chat stays.
func (s *Service) spreadNewChat(req *call.Request, chat uint64) error {
	r := s.rank(req)
	current := r.indexOf(req.Target)
	best := r.leastLoaded(req.Target)
	if current < 0 || best < 0 || r.loadPerSlot(current)-r.loadPerSlot(best) < s.rules.SpreadStep {
		return nil
	}
	s.targets.SetChatTarget(chat, r.target(best))
	s.meters.spilled.Inc(1)
	return redirectError(req, r.target(best))
}

// stepPlacement is the call.Error step of redirects to the target of a chat.
const stepPlacement = "placement"

// redirectError returns the refusal that redirects a request to the target of its
// chat.
func redirectError(req *call.Request, target fleet.Target) *call.Error {
	return &call.Error{
		Code:    call.CodeOverloaded,
		Message: "chat is assigned to another target",
		Step:    stepPlacement,
		Peer:    string(req.Target),
		Run:     call.RunNot,
		Next:    target,
	}
}
