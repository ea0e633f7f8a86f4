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

// Explain ranks the targets for the request of a question as the latest digests
// of their owners show them, and names the target that the request would get
// now. The error is always nil.
func (s *Service) Explain(_ context.Context, q explain.Question) (*explain.Answer, error) {
	req := &call.Request{Kind: call.KindChat, Model: q.Model, Service: q.Service, Chat: q.Chat, Account: q.Account}
	if q.Service != "" {
		req.Kind = call.KindService
	}
	r := s.rank(req)
	answer := &explain.Answer{Steps: []explain.Step{}, Reason: "no target serves this request"}
	states := s.targetStates()
	for pos := range r.order {
		step := s.explainStep(r, pos)
		step.State = states[step.Target]
		answer.Steps = append(answer.Steps, step)
	}
	if len(r.order) > 0 {
		s.explainChoice(r, req, answer)
	}
	return answer, nil
}

// targetStates returns the states that the owners report for their targets. It
// is empty if the owner service gives no reports.
func (s *Service) targetStates() map[fleet.Target]string {
	states := make(map[fleet.Target]string)
	reports, ok := s.targets.(owner.Targets)
	if !ok {
		return states
	}
	for _, t := range reports.Targets() {
		states[t.Target] = string(t.State)
	}
	return states
}

// explainStep describes the target at a position of the ranking and whether it
// has room.
func (s *Service) explainStep(r *ranking, pos int) explain.Step {
	c := &r.candidates[r.order[pos]]
	step := explain.Step{Target: c.Target, Admits: r.hasRoom(pos)}
	step.Owner, _ = s.owners.Owner(targetResource(c.Target))
	load := fmt.Sprintf("%d of %d slots taken, %d queued", c.Running, c.Slots, c.Queued)
	switch {
	case step.Owner == "":
		step.Reason = "no VM owns it at the moment"
	case !c.Ready:
		step.Reason = "no recent digest from its owner"
	case step.Admits:
		step.Reason = "has room: " + load
	case c.Running < c.Slots && c.Queued == 0:
		step.Reason = fmt.Sprintf("at the bound of %.2f times the mean load: %s", r.loadBound, load)
	default:
		step.Reason = "full: " + load
	}
	return step
}

// explainChoice sets the target that the request would get and the reason. The
// ranking has at least one target.
func (s *Service) explainChoice(r *ranking, req *call.Request, answer *explain.Answer) {
	first := r.target(0)
	if redirected, ok := s.targets.ChatTarget(chatHash(req)); ok && req.Chat != "" && answer.Steps[0].Owner == s.self {
		answer.Chosen = redirected
		answer.Reason = fmt.Sprintf("the chat hashes to %s and was redirected to %s earlier", first, redirected)
		return
	}
	pos := slices.IndexFunc(answer.Steps, func(step explain.Step) bool { return step.Admits })
	switch {
	case pos == 0 && req.Chat != "":
		answer.Chosen = first
		answer.Reason = "the chat hashes to this target, and it has room"
	case pos == 0:
		answer.Chosen = first
		answer.Reason = "it is the least loaded target that has room"
	case pos > 0:
		answer.Chosen = r.target(pos)
		answer.Reason = fmt.Sprintf("%s ranks first and has no room; this is the next target that has room", first)
	default:
		if wait := r.shortestWait(nil); wait >= 0 {
			answer.Chosen = r.target(wait)
			answer.Reason = "no target has room; this one has the shortest wait"
			return
		}
		answer.Reason = "no target can take the request now; it is refused with a time to retry after"
	}
}

// Service must implement explain.Explainer.
var _ explain.Explainer = (*Service)(nil)
