package orders

import (
	"cmp"
	"slices"
	"time"

	"github.com/zinniafork/zinniafork/internal/fleet"
)

// View is what a machine knows of one order.
type View struct {
	Key      Key
	Identity Identity
	Run      Run
	// Running is true while an outcome may still come from a dispatch.
	Running  bool
	Router   fleet.VM
	At       time.Time
	Outcome  Outcome
	Operator string
	// BodyInLog is true when the body of the answer is in the record at Offset.
	BodyInLog bool
	Offset    uint64
}

// View returns what is known of the order, and false when nothing is.
func (m *Machine) View(now time.Time, k Key) (View, bool) {
	if l := m.local[k]; l != nil {
		v := View{Key: k, Identity: l.identity, Router: m.cfg.Router, At: now}
		v.setReply(m.outcomeReply(k, l.outcome, true))
		v.Running = l.state != localOver
		return v, true
	}
	e := m.ledger.Entry(k)
	if t := m.tickets[k]; t != nil && (e == nil || e.Phase == PhaseFree || t.outcome.Run == RunDone) {
		v := View{Key: k, Identity: t.identity, Router: m.cfg.Router, At: t.minted}
		v.setReply(m.outcomeReply(k, t.outcome, true))
		return v, true
	}
	if e == nil || e.Phase == PhaseFree {
		return View{}, false
	}
	return m.entryView(now, e), true
}

func (m *Machine) entryView(now time.Time, e *Entry) View {
	v := View{Key: e.Key, Identity: e.Identity, Router: e.Router, At: e.At}
	if e.Phase == PhaseOpen {
		v.Running = now.Before(e.SendDeadline.Add(m.cfg.MaxClockSkew))
		return v
	}
	v.setReply(m.entryReply(e))
	return v
}

func (v *View) setReply(r Reply) {
	v.Run = r.Run
	v.Outcome = r.Outcome
	v.Operator = r.Operator
	v.BodyInLog = r.BodyInLog
	v.Offset = r.Offset
}

// NeverSent reports whether the machine knows of no dispatch of the key and
// would know of one that happened before this router's claim was confirmed.
// The answer holds once a confirmation that begins now succeeds.
func (m *Machine) NeverSent(key ParsedKey) bool {
	if m.local[key.Key] != nil || m.tickets[key.Key] != nil {
		return false
	}
	if t := key.Ticket; t != nil {
		return m.ownTicket(t) && !m.closeQueued
	}
	e := m.ledger.Entry(key.Key)
	free := e == nil || e.Phase == PhaseFree
	return free && m.IsActiveOwner() && m.ledger.Covers(key.Minted, m.margin())
}

// ListFilter chooses orders of a list.
type ListFilter struct {
	Account     fleet.Account
	UnknownOnly bool
	Limit       int
}

// List returns the orders that the ledger and this router's memory hold, the
// newest first.
func (m *Machine) List(now time.Time, sel ListFilter) []View {
	var out []View
	add := func(v View) {
		unknown := v.Run == RunUnknown && !v.Running
		if sel.Account != "" && v.Identity.Account != sel.Account || sel.UnknownOnly && !unknown {
			return
		}
		out = append(out, v)
	}
	for k, e := range m.ledger.entries {
		if e.Phase != PhaseFree && m.tickets[k] == nil {
			add(m.entryView(now, e))
		}
	}
	for k := range m.tickets {
		if v, ok := m.View(now, k); ok {
			add(v)
		}
	}
	slices.SortFunc(out, func(a, b View) int {
		return cmp.Or(b.At.Compare(a.At), cmp.Compare(a.Key, b.Key))
	})
	if sel.Limit > 0 && len(out) > sel.Limit {
		out = out[:sel.Limit]
	}
	return out
}
