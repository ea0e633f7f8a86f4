package forward

import (
	"errors"
	"fmt"
	"io"
	"net"
	"syscall"
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"pgregory.net/rapid"

	"github.com/zinniafork/zinniafork/internal/call"
	"github.com/zinniafork/zinniafork/internal/core/loadtable"
	"github.com/zinniafork/zinniafork/internal/core/quarantine"
	"github.com/zinniafork/zinniafork/internal/fleet"
	"github.com/zinniafork/zinniafork/internal/service/peer"
	"github.com/zinniafork/zinniafork/internal/wire"
)

// start is the time at which digests are encoded and decoded.
var start = time.Unix(1_700_000_000, 0)

func drawNotices(t *rapid.T) quarantine.Notices {
	parts, long := rapid.SliceOfN(rapid.Uint64(), 1, 20), rapid.SliceOfN(rapid.Uint64(), 1, 600)
	n := quarantine.Notices{Cleared: parts.Draw(t, "cleared"), Familiar: parts.Draw(t, "familiar"), Quarantined: parts.Draw(t, "quarantined")}
	for range rapid.IntRange(2, 20).Draw(t, "crashes") {
		e := quarantine.Engine{Target: fleet.Ref(rapid.Uint32().Draw(t, "target")), Born: rapid.Uint32().Draw(t, "born")}
		age := time.Duration(rapid.IntRange(0, 9000).Draw(t, "age")) * time.Millisecond
		n.Crashes = append(n.Crashes, quarantine.Crash{At: start.Add(-age), Engine: e, Parts: long.Draw(t, "parts"), Resource: rapid.Uint64().Draw(t, "resource"), Content: rapid.Uint64().Draw(t, "content")})
	}
	return n
}

// decodeDigest returns a digest that has arrived at another router, with its targets.
func decodeDigest(t must.T, sent any) (*digest, []fleet.Ref) {
	payload, err := wire.Marshal(sent)
	must.NoError(t, err)
	d := new(digest)
	must.NoError(t, wire.Unmarshal(payload, d))
	refs, ok := loadtable.NewDecoder().Targets(&d.Loads)
	must.True(t, ok)
	return d, refs
}

func TestDigestCarriesNoticesOfPromptParts(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		n := drawNotices(t)
		d, refs := decodeDigest(t, newDigest(start, loadtable.NewEncoder(1), nil, updates{parts: n}))
		must.Eq(t, n, d.parts(start, refs))
		must.SliceEmpty(t, d.parts(start, nil).Crashes, must.Sprint("crashes of unknown targets"))
		d.Crashes = d.Crashes[:len(d.Crashes)-rapid.IntRange(1, partSize).Draw(t, "lost bytes")]
		must.Eq(t, n.Crashes[:len(n.Crashes)-1], d.parts(start, refs).Crashes, must.Sprint("up to the incomplete one"))
	})
}

// TestDigestsHoldFewCrashesOfLongPrompts checks that crashes for which a digest has no room come
// with the next one.
func TestDigestsHoldFewCrashesOfLongPrompts(t *testing.T) {
	tracker := quarantine.New()
	tracker.Served(start, []uint64{1 << 40}, quarantine.Engine{Target: 99}, start) // no outage
	for i := range 10 {
		parts := make([]uint64, 4095)
		for j := range parts {
			parts[j] = uint64(i*5000 + j + 1)
		}
		tracker.Crashed(start, quarantine.Crash{Engine: quarantine.Engine{Target: fleet.Ref(i + 1)}, Parts: parts})
	}
	var relayed updates
	told, passedOn := 0, 0
	for range 4 {
		n := tracker.TakeNotices()
		told += len(n.Crashes)
		relayed.merge(updates{parts: n})
		u, _ := relayed.take()
		passedOn += len(u.parts.Crashes)
		payload, err := wire.Marshal(newDigest(start, loadtable.NewEncoder(1), nil, u))
		must.NoError(t, err)
		must.Less(t, 140<<10, len(payload))
	}
	must.Eq(t, 10, told)
	must.Eq(t, 10, passedOn)
}

// digestBefore is the digest of the last release.
type digestBefore struct {
	Total    bool              `msgpack:"s,omitempty"`
	Loads    loadtable.Message `msgpack:"w"`
	Prompts  []byte            `msgpack:"p,omitempty"`
	Outcomes []uint32          `msgpack:"o,omitempty"`
	Leaving  []uint32          `msgpack:"l,omitempty"`
}

// TestDigestsOfTheLastRelease checks that routers of this release and the last one read
// each other's digests.
func TestDigestsOfTheLastRelease(t *testing.T) {
	n := quarantine.Notices{Cleared: []uint64{1}, Quarantined: []uint64{2}, Crashes: []quarantine.Crash{{Engine: quarantine.Engine{Target: 5}, Parts: []uint64{3}}}}
	sent := newDigest(start, loadtable.NewEncoder(1), nil, updates{parts: n, leaving: []leavingTarget{{target: 5, born: 9}}})
	payload, err := wire.Marshal(sent)
	must.NoError(t, err)
	var before digestBefore
	must.NoError(t, wire.Unmarshal(payload, &before))
	must.Eq(t, sent.Leaving, before.Leaving)
	d, refs := decodeDigest(t, &before)
	must.Eq(t, []leavingTarget{{target: 5, born: 9}}, d.leaving(refs))
	must.Eq(t, quarantine.Notices{}, d.parts(start, refs))
}

// TestHubsMergeNotices checks that a hub passes on each notice, parts only once.
func TestHubsMergeNotices(t *testing.T) {
	var u updates
	crash := quarantine.Crash{Engine: quarantine.Engine{Target: 5}, Parts: []uint64{3}}
	u.merge(updates{parts: quarantine.Notices{Cleared: []uint64{1}, Crashes: []quarantine.Crash{crash}}})
	u.merge(updates{parts: quarantine.Notices{Cleared: []uint64{1, 2}, Familiar: []uint64{4}, Quarantined: []uint64{6}, Crashes: []quarantine.Crash{crash}}})
	out, _ := u.take()
	must.Eq(t, quarantine.Notices{
		Cleared: []uint64{1, 2}, Familiar: []uint64{4}, Quarantined: []uint64{6}, Crashes: []quarantine.Crash{crash, crash},
	}, out.parts)
}

func TestOnlyConnectionsThatTheTargetClosesCountAsCrashes(t *testing.T) {
	for _, c := range []struct {
		err  error
		want bool
	}{
		{&BodyError{Closed: true, Err: io.ErrUnexpectedEOF}, true},
		{errNoEvents, true},
		{errMidEvent, true},
		{&SendError{Sent: true, Closed: true, Err: fmt.Errorf("read response: %w", io.EOF)}, true},
		{relayedError("e1", sendFailure(t.Context(), "vm-2", &SendError{Sent: true, Closed: true, Err: io.EOF})), true},
		{relayedBodyError(relayFailure("vm-2", call.CodeCut, call.RunUnknown, io.EOF)), true},
		{&SendError{Sent: false, Err: io.EOF}, false},
		{&SendError{Unreachable: true, Err: syscall.ECONNREFUSED}, false},
		{errTooLong, false},
		{&SendError{Sent: true, Err: errors.New("malformed response")}, false},
		{io.ErrUnexpectedEOF, false},
		{&net.OpError{Op: "read", Err: syscall.ECONNRESET}, false},
		{&BodyError{PathFailed: true, Err: io.ErrUnexpectedEOF}, false},
		{relayedError("e1", lostLink(call.CodeUnavailable, io.EOF)), false},
		{relayedError("e1", lostLink(call.CodeCut, syscall.ECONNRESET)), false},
		{relayedBodyError(lostLink(call.CodeUnavailable, io.EOF)), false},
		{relayedBodyError(lostLink(call.CodeCut, io.ErrUnexpectedEOF)), false},
		{relayedBodyError(nil), false},
	} {
		must.Eq(t, c.want, closedByTarget(c.err), must.Sprint(c.err))
	}
}

// lostLink is the error of a call whose connection to the other router failed.
func lostLink(code call.Code, cause error) error {
	return &call.Error{Code: code, Step: peer.Name, Run: call.RunUnknown, Cause: cause}
}
