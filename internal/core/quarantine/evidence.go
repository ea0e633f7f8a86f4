package quarantine

import (
	"slices"
	"time"
)

// Served records a response to a request with these parts that was sent to an engine
// process at a given time. Its first event clears the parts of the prompt, its end the
// content. It shows that the process has not crashed before that time.
func (t *Tracker) Served(now time.Time, parts []uint64, engine Engine, sentAt time.Time) []Change {
	outage := t.outage(engine.Service)
	outage.servedAt = now
	if t.held > 0 || t.accused[engine.key()] {
		t.acquit(outage, engine, sentAt)
	}
	var changes []Change
	for _, part := range parts {
		if t.records[part] != nil {
			tell(&t.notices.Cleared, part)
		}
		changes = append(changes, t.clear(now, part)...)
	}
	return changes
}

// acquit drops the crashes of an engine that did not happen, and ends an outage.
func (t *Tracker) acquit(outage *outage, engine Engine, sentAt time.Time) {
	accused := false
	for part, r := range t.records {
		if r.quarantined {
			continue
		}
		if r.held == outage {
			// The outage has ended. More crashes show whether it was the part.
			t.hold(r, nil)
			r.crashes = r.crashes[:r.enough()-crashesAfterOutage]
		}
		r.crashes = slices.DeleteFunc(r.crashes, func(n noted) bool { return n.engine.is(engine) && n.at.Before(sentAt) })
		if len(r.crashes) == 0 {
			t.remove(part)
			continue
		}
		accused = accused || slices.ContainsFunc(r.crashes, func(n noted) bool { return n.engine.is(engine) })
	}
	if !accused {
		delete(t.accused, engine.key())
	}
}

// expireAccused forgets processes whose crashes count against no part any more.
func (t *Tracker) expireAccused() {
	clear(t.accused)
	for _, r := range t.records {
		for _, list := range [...][]noted{r.crashes, r.together} {
			for _, n := range list {
				t.accused[n.engine.key()] = true
			}
		}
	}
}

// ServedElsewhere records that another router has served a part.
func (t *Tracker) ServedElsewhere(now time.Time, part uint64) []Change { return t.clear(now, part) }

// clear drops what counts against a part that was served.
func (t *Tracker) clear(now time.Time, part uint64) []Change {
	t.served.add(now, part)
	r := t.records[part]
	if r == nil {
		return nil
	}
	t.remove(part)
	if !r.quarantined && len(r.crashes) < isolateCrashes {
		return nil
	}
	return []Change{{Part: part, State: Cleared, Released: r.quarantined, Crashes: len(r.crashes)}}
}

// FamiliarElsewhere records that another router has served a part before it was
// suspected.
func (t *Tracker) FamiliarElsewhere(part uint64) {
	if r := t.records[part]; r != nil {
		r.familiar = true
	}
}

// QuarantinedElsewhere records that a part is in quarantine at another router. If it was
// served shortly before, the other router is told so instead.
func (t *Tracker) QuarantinedElsewhere(now time.Time, part uint64) []Change {
	if t.served.within(now, part, recentService) {
		tell(&t.notices.Cleared, part)
		return nil
	}
	r := t.record(now, part)
	if r.quarantined {
		r.changedAt, r.announcedAt = now, now
		return nil
	}
	t.quarantine(now, r)
	return []Change{{Part: part, State: Quarantined, Crashes: len(r.crashes)}}
}

// Restore moves parts into quarantine that were in it before all routers were lost, and
// announces them.
func (t *Tracker) Restore(now time.Time, parts []uint64) []Change {
	var changes []Change
	for _, part := range parts {
		changes = append(changes, t.QuarantinedElsewhere(now, part)...)
		if r := t.records[part]; r != nil && r.quarantined {
			t.announce(now, part, r)
		}
	}
	return changes
}

// Refuses reports whether a request with these parts must not be sent, and the part in
// quarantine. A request may pass as a probe if mayProbe allows it for each such part;
// only one router should probe a part.
func (t *Tracker) Refuses(now time.Time, parts []uint64, mayProbe func(part uint64) bool) (uint64, bool) {
	if t.quarantined == 0 {
		return 0, false
	}
	var refused uint64
	refuses := false
	var probes []*record
	for _, part := range parts {
		r := t.records[part]
		if r == nil || !r.quarantined {
			continue
		}
		r.changedAt = now
		if now.Sub(r.announcedAt) >= announcePeriod {
			t.announce(now, part, r)
		}
		if now.Before(r.probeAt) || !mayProbe(part) {
			refused, refuses = part, true
			continue
		}
		probes = append(probes, r)
	}
	if refuses {
		return refused, true
	}
	for _, r := range probes {
		r.probeWait = min(2*r.probeWait, maxProbeWait)
		r.probeAt = now.Add(r.probeWait)
	}
	return 0, false
}

// Isolates reports whether a request with these parts that has crashed an engine must
// not be sent again. A familiar part does not isolate: it is shared by many requests
// that are only near a crash.
func (t *Tracker) Isolates(parts []uint64) bool {
	return slices.ContainsFunc(parts, func(part uint64) bool {
		r := t.records[part]
		return r != nil && (r.quarantined || !r.familiar && len(r.crashes) >= isolateCrashes)
	})
}

// Expire ends the quarantine of parts for which no request has come for long, and drops
// suspicions without a new crash.
func (t *Tracker) Expire(now time.Time) []Change {
	if now.Sub(t.expiredAt) < expirePeriod {
		return nil
	}
	t.expiredAt = now
	t.served.expire(now)
	t.expireDown(now)
	if len(t.accused) > maxAccused {
		t.expireAccused()
	}
	var changes []Change
	for part, r := range t.records {
		ttl := suspectTTL
		if r.quarantined {
			ttl = quarantineTTL
		}
		if now.Sub(r.changedAt) < ttl {
			continue
		}
		if r.quarantined {
			changes = append(changes, Change{Part: part, State: Cleared, Released: true, Crashes: len(r.crashes)})
		}
		t.remove(part)
	}
	return changes
}
