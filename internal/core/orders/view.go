package orders

import (
	"cmp"
	"slices"
	"time"

	"github.com/zinniafork/zinniafork/internal/fleet"
)

// View is the state of one order as the machine knows it.
type View struct {
	Key      Key
	Identity Identity
	Run      Run
	// Running is true while a dispatch may still report an outcome.
	Running  bool
	Router   fleet.VM
	At       time.Time
	Outcome  Outcome
	Operator string
	// BodyInLog is true when the response body must be read from the record at
	// Offset.
	BodyInLog bool
	Offset    uint64
}

// View returns the state of an order, or false when nothing is known of it.
func (m *Machine) View(now time.Time, k Key) (View, bool) {
	if l := m.localOrders[k]; l != nil {
		v := View{Key: k, Identity: l.identity, Router: m.cfg.Router, At: now}
		v.setReply(m.outcomeReply(k, l.outcome, true))
		v.Running = l.state != localFinished
		return v, true
	}
	e := m.ledger.Entry(k)
	if t := m.finishedTickets[k]; t != nil && (e == nil || e.Phase == PhaseFree || t.outcome.Run == RunDone) {
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
// The result is reliable once a confirmation of ownership that begins after
// the call succeeds.
func (m *Machine) NeverSent(key ParsedKey) bool {
	if m.localOrders[key.Key] != nil || m.finishedTickets[key.Key] != nil {
		return false
	}
	if t := key.Ticket; t != nil {
		return m.isOwnTicket(t) && !m.closeQueued
	}
	e := m.ledger.Entry(key.Key)
	free := e == nil || e.Phase == PhaseFree
	return free && m.IsActiveOwner() && m.ledger.Covers(key.Minted, m.clockMargin())
}

// ListFilter selects the orders of a list. Its field names are part of the
// queries between routers.
type ListFilter struct {
	Account     fleet.Account
	UnknownOnly bool
	Limit       int
}

// List returns the orders of the ledger and of this router's memory that match
// the filter, newest first.
func (m *Machine) List(now time.Time, filter ListFilter) []View {
	var out []View
	add := func(v View) {
		unknown := v.Run == RunUnknown && !v.Running
		if filter.Account != "" && v.Identity.Account != filter.Account || filter.UnknownOnly && !unknown {
			return
		}
		out = append(out, v)
	}
	for k, e := range m.ledger.entries {
		if e.Phase != PhaseFree && m.finishedTickets[k] == nil {
			add(m.entryView(now, e))
		}
	}
	for k := range m.finishedTickets {
		if v, ok := m.View(now, k); ok {
			add(v)
		}
	}
	slices.SortFunc(out, func(a, b View) int {
		return cmp.Or(b.At.Compare(a.At), cmp.Compare(a.Key, b.Key))
	})
	if filter.Limit > 0 && len(out) > filter.Limit {
		out = out[:filter.Limit]
	}
	return out
}
