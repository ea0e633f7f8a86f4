package route

import (
	"context"
	"fmt"
	"slices"

	"github.com/zinniafork/zinniafork/internal/call"
	"github.com/zinniafork/zinniafork/internal/explain"
	"github.com/zinniafork/zinniafork/internal/fleet"
	"github.com/zinniafork/zinniafork/internal/service/owner"
)

// Explain tells where a request would go now, by what the owners' digests
// show.
func (s *Service) Explain(_ context.Context, q explain.Question) (*explain.Answer, error) {
	req := &call.Request{Kind: call.KindChat, Model: q.Model, Service: q.Service, Chat: q.Chat, Account: q.Account}
	if q.Service != "" {
		req.Kind = call.KindService
	}
	r := s.rank(req)
	out := &explain.Answer{Steps: []explain.Step{}, Reason: "no target serves this request"}
	states := s.states()
	for place := range r.order {
		step := s.step(r, place)
		step.State = states[step.Target]
		out.Steps = append(out.Steps, step)
	}
	if len(r.order) > 0 {
		s.conclude(r, req, out)
	}
	return out, nil
}

// states returns the states of targets that owners report.
func (s *Service) states() map[fleet.Target]string {
	out := make(map[fleet.Target]string)
	reports, ok := s.targets.(owner.Targets)
	if !ok {
		return out
	}
	for _, t := range reports.Targets() {
		out[t.Target] = string(t.State)
	}
	return out
}

func (s *Service) step(r *ranking, place int) explain.Step {
	c := &r.candidates[r.order[place]]
	step := explain.Step{Target: c.Target, Admits: r.hasRoom(place)}
	step.Owner, _ = s.owners.Owner(targetResource(c.Target))
	load := fmt.Sprintf("%d of %d slots taken, %d queued", c.Running, c.Slots, c.Queued)
	switch {
	case step.Owner == "":
		step.Reason = "no VM owns it just now"
	case !c.Ready:
		step.Reason = "no fresh digest of its owner"
	case step.Admits:
		step.Reason = "has room: " + load
	case c.Running < c.Slots && c.Queued == 0:
		step.Reason = fmt.Sprintf("at the bound of %.2f times the mean load: %s", r.bound, load)
	default:
		step.Reason = "full: " + load
	}
	return step
}

// conclude names the target that the request would get.
func (s *Service) conclude(r *ranking, req *call.Request, out *explain.Answer) {
	first := r.place(0)
	if moved, ok := s.targets.ChatTarget(chatKey(req)); ok && req.Chat != "" && out.Steps[0].Owner == s.self {
		out.Chosen = moved
		out.Reason = fmt.Sprintf("the chat belongs to %s and was sent to %s before", first, moved)
		return
	}
	place := slices.IndexFunc(out.Steps, func(step explain.Step) bool { return step.Admits })
	switch {
	case place == 0 && req.Chat != "":
		out.Chosen = first
		out.Reason = "the chat belongs there by its hash, and there is room"
	case place == 0:
		out.Chosen = first
		out.Reason = "it has the least load of those that have room"
	case place > 0:
		out.Chosen = r.place(place)
		out.Reason = fmt.Sprintf("%s comes first and has no room; this is the next that has", first)
	default:
		if wait := r.shortestWait(nil); wait >= 0 {
			out.Chosen = r.place(wait)
			out.Reason = "no target has room; the wait is shortest there"
			return
		}
		out.Reason = "no target can take it now; callers are told when to come back"
	}
}

// Interface guard.
var _ explain.Explainer = (*Service)(nil)
