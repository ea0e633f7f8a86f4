package peer

import (
	"time"

	"github.com/zinniafork/zinniafork/internal/wire"
)

// tick probes a connection that is in use and silent. A probe that stays
// unanswered makes the connection suspect, so that another one is opened. It is
// closed when that other one works, which shows that the router is alive, or
// when the silence lasts too long.
func (c *conn) tick(now time.Time) {
	at := now.UnixNano()
	if c.midFrame(at) {
		return
	}
	if p := c.pinged.Load(); p != 0 {
		c.judge(now, time.Duration(at-p))
		return
	}
	opened, served := c.streams()
	limit := c.host.settings.Ping.Std()
	received := c.received.Load()
	if opened > 0 || served > 0 {
		limit /= 2
	} else if c.sent.Load() <= received {
		return
	}
	if at-received > int64(limit) {
		c.ping(at)
	}
}

// midFrame reports whether a frame has been arriving for a while. Its bytes show that the
// other router is alive. That one hears nothing all the while, since its own probes and
// whatever this router would answer wait behind the frame: it is sent a ping now and
// then.
func (c *conn) midFrame(at int64) bool {
	arrived, limit := c.raw.arrived.Load(), int64(c.host.settings.Ping)/2
	if arrived <= c.received.Load() || at-arrived > limit {
		return false
	}
	c.pinged.Store(0)
	if at-c.received.Load() > limit && at-c.sent.Load() > limit/2 {
		c.offerFrame(&wire.Frame{Type: wire.TypePing}, KindTransport)
	}
	return true
}

// judge decides on a connection whose probe has been unanswered for a time. One that has
// been replaced has the time of a probe from then on: after a pause of the link or of
// the other router, both connections work again at the same moment.
func (c *conn) judge(now time.Time, unanswered time.Duration) {
	limit, suspect := c.host.settings.Silence.Std(), c.host.settings.Suspect.Std()
	if since, ok := c.host.links.replaced(c); ok && now.Sub(since) > suspect {
		limit = min(limit, 2*suspect)
	}
	switch {
	case unanswered > limit:
		c.host.metrics.silent.Inc(1)
		c.host.logger.WithField("peer", c.vm).Warn("Connection went silent.")
		c.close(errSilent)
	case unanswered > suspect:
		c.host.links.suspect(c)
	}
}

// excuse forgets how long the other side has been silent, because this one was
// paused and has not read what came.
func (c *conn) excuse(now time.Time) {
	at := now.UnixNano()
	c.received.Store(at)
	if c.pinged.Load() != 0 {
		c.pinged.Store(at)
	}
}

// probe pings a connection that has been silent, before it is used.
func (c *conn) probe() {
	at := c.host.clock.Now().UnixNano()
	if c.pinged.Load() == 0 && at-c.received.Load() > int64(c.host.settings.Ping) {
		c.ping(at)
	}
}

func (c *conn) ping(at int64) {
	if c.pinged.CompareAndSwap(0, at) {
		c.offerFrame(&wire.Frame{Type: wire.TypePing}, KindTransport)
	}
}
