package forward

import (
	"encoding/binary"
	"math"
	"time"

	"github.com/zinniafork/zinniafork/internal/core/balance"
	"github.com/zinniafork/zinniafork/internal/core/hubs"
	"github.com/zinniafork/zinniafork/internal/core/loadtable"
	"github.com/zinniafork/zinniafork/internal/core/outlier"
	"github.com/zinniafork/zinniafork/internal/core/quarantine"
	"github.com/zinniafork/zinniafork/internal/core/ratelimit"
	"github.com/zinniafork/zinniafork/internal/core/workload"
	"github.com/zinniafork/zinniafork/internal/fleet"
)

// digest is a control message from one router to another with the load of targets,
// new placements and request outcomes. Targets are encoded as indexes into the
// target table of Loads.
type digest struct {
	// Total is true when the loads are those of all routers, and false when they are
	// the sender's own, or for a hub those of its data centre.
	Total bool `msgpack:"s,omitempty"`
	// Scope is the hubs.Scope of the updates. Routers of earlier releases don't send it.
	Scope uint8 `msgpack:"h,omitempty"`
	// Loads holds the target table and the load of each target.
	Loads loadtable.Message `msgpack:"w"`
	// Prompts holds 10 bytes for each placement, little endian: the prompt hash in 8
	// bytes and the index of its target in 2.
	Prompts []byte `msgpack:"p,omitempty"`
	// Outcomes holds triples of target index, number of successful requests and
	// number of failed requests.
	Outcomes []uint32 `msgpack:"o,omitempty"`
	// Leaving holds pairs of target index and the low 32 bits of the Born value of the
	// process that said that it is leaving.
	Leaving []uint32 `msgpack:"l,omitempty"`
	// Crashes holds the sends that a target broke off: the index of the target in 2
	// bytes, the low 32 bits of its Born value in 4, the time since then in milliseconds
	// in 2, the number of parts in 1 and the hash of each part in 8, all little endian.
	// Cleared, Familiar and Quarantined hold the hashes of parts.
	Crashes []byte `msgpack:"c,omitempty"`
	// Earlier holds the parts of crashes that stand before those for which Crashes has room.
	// Routers of earlier releases neither send nor read it.
	Earlier []earlierParts `msgpack:"e,omitempty"`
	// Contents and Resources hold the hashes of the content and the resource of the request
	// of each crash. Routers of earlier releases may neither send nor read them.
	Contents    []uint64 `msgpack:"t,omitempty"`
	Resources   []uint64 `msgpack:"u,omitempty"`
	Cleared     []uint64 `msgpack:"f,omitempty"`
	Familiar    []uint64 `msgpack:"k,omitempty"`
	Quarantined []uint64 `msgpack:"q,omitempty"`
	// Limits holds what is known of the limits that targets name: the index of the target
	// in 2 bytes, the low 32 bits of its Born value in 4, the age of the report in
	// milliseconds in 2, and in 4 bytes the limit in thousandths of a request a second
	// plus one, zero when there is none any more, all little endian.
	Limits []byte `msgpack:"r,omitempty"`
	// Brittle holds which targets are brittle, as Limits does, with the number of requests
	// that they may turn away in a second.
	Brittle []byte `msgpack:"b,omitempty"`
	// Down holds, as Leaving does, the processes that broke off requests and can't be
	// reached since.
	Down []uint32 `msgpack:"d,omitempty"`
	// Speeds holds what responses have shown of slow targets, speedSize bytes each. Routers of
	// earlier releases neither send nor read it.
	Speeds []byte `msgpack:"v,omitempty"`
}

// earlierParts are parts of a long prompt.
type earlierParts struct {
	// Crash is the number of the entry of Crashes, from zero.
	Crash int `msgpack:"n"`
	// Parts holds the hash of each part in 8 bytes, little endian.
	Parts []byte `msgpack:"p"`
}

// placementSize is the length in bytes of one entry of Prompts.
const placementSize = 10

// crashHeadSize is the length in bytes of an entry of Crashes without its parts, and
// partSize that of one part. limitSize is that of an entry of Limits.
const (
	crashHeadSize = 9
	partSize      = 8
	limitSize     = 12
)

// updates collects the placements, request outcomes, leaving targets and notices of
// prompt parts for the next digest.
type updates struct {
	prompts  []balance.Placement
	outcomes map[fleet.Ref]outlier.Counts
	leaving  []leavingTarget
	parts    quarantine.Notices
	limits   []ratelimit.Report
	brittle  []ratelimit.Report
	down     []leavingTarget
	speeds   []workload.Speed
}

// leavingTarget is the process of a target that said that it is leaving, or that is down,
// identified by the low bits of its Born value.
type leavingTarget struct {
	target fleet.Ref
	born   uint32
}

// scope returns the part of the site whose updates the digest holds.
func (d *digest) scope() hubs.Scope {
	switch {
	case d.Total:
		return hubs.ScopeSite
	case d.Scope <= uint8(hubs.ScopeSite):
		return hubs.Scope(d.Scope)
	default:
		return hubs.ScopeUnknown
	}
}

// merge appends placements, leaving targets and notices, and adds up outcomes.
func (u *updates) merge(more updates) {
	u.prompts = append(u.prompts, more.prompts...)
	u.leaving = append(u.leaving, more.leaving...)
	u.parts.Merge(more.parts)
	u.limits = append(u.limits, more.limits...)
	u.brittle = append(u.brittle, more.brittle...)
	u.down = append(u.down, more.down...)
	u.speeds = workload.MergeSpeeds(u.speeds, more.speeds)
	if u.outcomes == nil {
		u.outcomes = make(map[fleet.Ref]outlier.Counts)
	}
	for id, c := range more.outcomes {
		sum := u.outcomes[id]
		u.outcomes[id] = outlier.Counts{OK: sum.OK + c.OK, Failed: sum.Failed + c.Failed}
	}
}

// Most entries of each kind in one digest. All routers of the planned size place some 500
// requests between two digests.
const (
	maxPlacements = 4096
	maxReports    = 1024
	// maxCrashes is lower, since a crash may hold 64 KiB of parts.
	maxCrashes = 64
)

// take returns the collected updates and empties u. Of more than a digest may hold it
// returns the newest, and the number of those that are left out. Crashes with many parts wait
// for the next digest.
func (u *updates) take() (out updates, dropped int) {
	out = *u
	*u = updates{}
	out.prompts = newest(out.prompts, maxPlacements, &dropped)
	out.leaving = newest(out.leaving, maxReports, &dropped)
	out.limits = newest(out.limits, maxReports, &dropped)
	out.brittle = newest(out.brittle, maxReports, &dropped)
	out.down = newest(out.down, maxReports, &dropped)
	out.speeds = newest(out.speeds, maxSpeeds, &dropped)
	out.parts.Crashes, u.parts.Crashes = quarantine.TakeCrashes(newest(out.parts.Crashes, maxCrashes, &dropped))
	out.parts.Cleared = newest(out.parts.Cleared, maxReports, &dropped)
	out.parts.Familiar = newest(out.parts.Familiar, maxReports, &dropped)
	out.parts.Quarantined = newest(out.parts.Quarantined, maxReports, &dropped)
	return out, dropped
}

// newest returns the last entries of a list, and adds the number of the others to dropped.
func newest[T any](list []T, most int, dropped *int) []T {
	excess := max(len(list)-most, 0)
	*dropped += excess
	return list[excess:]
}

// newDigest encodes loads and updates with the target table of an encoder. Updates
// about targets that the table cannot hold are left out.
func newDigest(now time.Time, enc *loadtable.Encoder, loads []balance.Load, u updates) *digest {
	enc.Begin()
	d := new(digest)
	for _, p := range u.prompts {
		if index, ok := enc.Index(p.Target); ok {
			d.Prompts = binary.LittleEndian.AppendUint64(d.Prompts, p.Prompt)
			d.Prompts = binary.LittleEndian.AppendUint16(d.Prompts, index)
		}
	}
	for id, c := range u.outcomes {
		if index, ok := enc.Index(id); ok {
			d.Outcomes = append(d.Outcomes, uint32(index), uint32(c.OK), uint32(c.Failed))
		}
	}
	d.Leaving, d.Down = appendProcesses(enc, u.leaving), appendProcesses(enc, u.down)
	for _, c := range u.parts.Crashes {
		if index, ok := enc.Index(c.Engine.Target); ok {
			d.appendCrash(index, now.Sub(c.At), c)
			d.Contents = append(d.Contents, c.Content)
			d.Resources = append(d.Resources, c.Resource)
		}
	}
	d.Limits = appendLimits(now, enc, u.limits)
	d.Brittle = appendLimits(now, enc, u.brittle)
	d.Speeds = appendSpeeds(enc, u.speeds)
	d.Cleared, d.Familiar, d.Quarantined = u.parts.Cleared, u.parts.Familiar, u.parts.Quarantined
	d.Loads = enc.Encode(loads)
	return d
}

// prompts decodes the placements, given the targets of the table by index. Entries
// with an unknown index or of less than placementSize bytes are ignored.
func (d *digest) prompts(refs []fleet.Ref) []balance.Placement {
	out := make([]balance.Placement, 0, len(d.Prompts)/placementSize)
	for rest := d.Prompts; len(rest) >= placementSize; rest = rest[placementSize:] {
		prompt, index := binary.LittleEndian.Uint64(rest), int(binary.LittleEndian.Uint16(rest[8:]))
		if index < len(refs) {
			out = append(out, balance.Placement{Prompt: prompt, Target: refs[index]})
		}
	}
	return out
}

// outcomes decodes the request outcomes, given the targets of the table by index.
// Entries with an unknown index and incomplete triples are ignored.
func (d *digest) outcomes(refs []fleet.Ref) map[fleet.Ref]outlier.Counts {
	out := make(map[fleet.Ref]outlier.Counts, len(d.Outcomes)/3)
	for rest := d.Outcomes; len(rest) >= 3; rest = rest[3:] {
		if int(rest[0]) < len(refs) {
			out[refs[rest[0]]] = outlier.Counts{OK: int(rest[1]), Failed: int(rest[2])}
		}
	}
	return out
}

// appendProcesses encodes the processes of targets that the table can hold.
func appendProcesses(enc *loadtable.Encoder, processes []leavingTarget) []uint32 {
	var out []uint32
	for _, p := range processes {
		if index, ok := enc.Index(p.target); ok {
			out = append(out, uint32(index), p.born)
		}
	}
	return out
}

// leaving decodes the leaving targets, given the targets of the table by index.
func (d *digest) leaving(refs []fleet.Ref) []leavingTarget { return decodeProcesses(refs, d.Leaving) }

// decodeProcesses decodes the processes of targets. Entries with an unknown index and
// incomplete pairs are ignored.
func decodeProcesses(refs []fleet.Ref, entries []uint32) []leavingTarget {
	var out []leavingTarget
	for rest := entries; len(rest) >= 2; rest = rest[2:] {
		if int(rest[0]) < len(refs) {
			out = append(out, leavingTarget{target: refs[rest[0]], born: rest[1]})
		}
	}
	return out
}

// appendCrash appends an entry of Crashes with its last parts, and the others to Earlier.
func (d *digest) appendCrash(index uint16, age time.Duration, c quarantine.Crash) {
	earlier := max(len(c.Parts)-math.MaxUint8, 0)
	if earlier > 0 {
		d.Earlier = append(d.Earlier, earlierParts{Crash: len(d.Contents), Parts: appendParts(nil, c.Parts[:earlier])})
	}
	out := binary.LittleEndian.AppendUint16(d.Crashes, index)
	out = binary.LittleEndian.AppendUint32(out, c.Engine.Born)
	out = binary.LittleEndian.AppendUint16(out, uint16(min(max(age.Milliseconds(), 0), math.MaxUint16)))
	out = append(out, uint8(len(c.Parts)-earlier))
	d.Crashes = appendParts(out, c.Parts[earlier:])
}

// appendParts appends the hashes of parts.
func appendParts(out []byte, parts []uint64) []byte {
	for _, part := range parts {
		out = binary.LittleEndian.AppendUint64(out, part)
	}
	return out
}

// decodeParts decodes the hashes of parts. An incomplete one at the end is ignored.
func decodeParts(data []byte) []uint64 {
	var out []uint64
	for ; len(data) >= partSize; data = data[partSize:] {
		out = append(out, binary.LittleEndian.Uint64(data))
	}
	return out
}

// earlierParts returns the parts of a crash that Crashes has no room for.
func (d *digest) earlierParts(number int) []uint64 {
	for _, e := range d.Earlier {
		if e.Crash == number {
			return decodeParts(e.Parts)
		}
	}
	return nil
}

// parts decodes the notices of parts, given the targets of the table by index.
// Crashes of unknown targets are ignored, as are those from an incomplete one on.
func (d *digest) parts(now time.Time, refs []fleet.Ref) quarantine.Notices {
	n := quarantine.Notices{Cleared: d.Cleared, Familiar: d.Familiar, Quarantined: d.Quarantined}
	number := 0
	for rest := d.Crashes; len(rest) >= crashHeadSize; number++ {
		index, count := int(binary.LittleEndian.Uint16(rest)), int(rest[crashHeadSize-1])
		age := time.Duration(binary.LittleEndian.Uint16(rest[6:])) * time.Millisecond
		c := quarantine.Crash{At: now.Add(-age), Engine: quarantine.Engine{Born: binary.LittleEndian.Uint32(rest[2:])}}
		if number < len(d.Contents) {
			c.Content = d.Contents[number]
		}
		if number < len(d.Resources) {
			c.Resource = d.Resources[number]
		}
		rest = rest[crashHeadSize:]
		if len(rest) < count*partSize {
			break
		}
		c.Parts = append(d.earlierParts(number), decodeParts(rest[:count*partSize])...)
		rest = rest[count*partSize:]
		if index < len(refs) {
			c.Engine.Target = refs[index]
			n.Crashes = append(n.Crashes, c)
		}
	}
	return n
}

// appendLimits encodes the reports on targets that the table can hold.
func appendLimits(now time.Time, enc *loadtable.Encoder, reports []ratelimit.Report) []byte {
	var out []byte
	for _, r := range reports {
		if index, ok := enc.Index(r.Process.Target); ok {
			out = appendLimit(out, index, now.Sub(r.At), r)
		}
	}
	return out
}

// appendLimit appends an entry of Limits.
func appendLimit(out []byte, index uint16, age time.Duration, r ratelimit.Report) []byte {
	rate := uint32(0)
	if r.Limited {
		rate = uint32(min(math.Round(r.Rate*1000)+1, math.MaxUint32))
	}
	out = binary.LittleEndian.AppendUint16(out, index)
	out = binary.LittleEndian.AppendUint32(out, r.Process.Born)
	out = binary.LittleEndian.AppendUint16(out, uint16(min(max(age.Milliseconds(), 0), math.MaxUint16)))
	return binary.LittleEndian.AppendUint32(out, rate)
}

// limits decodes the reports of limits, and brittle those of brittle targets, given the
// targets of the table by index. Reports on unknown targets and an incomplete one at the
// end are ignored.
func (d *digest) limits(now time.Time, refs []fleet.Ref) []ratelimit.Report {
	return decodeLimits(now, refs, d.Limits)
}

func (d *digest) brittle(now time.Time, refs []fleet.Ref) []ratelimit.Report {
	return decodeLimits(now, refs, d.Brittle)
}

func decodeLimits(now time.Time, refs []fleet.Ref, entries []byte) []ratelimit.Report {
	var out []ratelimit.Report
	for rest := entries; len(rest) >= limitSize; rest = rest[limitSize:] {
		index := int(binary.LittleEndian.Uint16(rest))
		if index >= len(refs) {
			continue
		}
		age := time.Duration(binary.LittleEndian.Uint16(rest[6:])) * time.Millisecond
		r := ratelimit.Report{
			Process: ratelimit.Process{Target: refs[index], Born: binary.LittleEndian.Uint32(rest[2:])},
			At:      now.Add(-age),
		}
		if rate := binary.LittleEndian.Uint32(rest[8:]); rate > 0 {
			r.Limited, r.Rate = true, float64(rate-1)/1000
		}
		out = append(out, r)
	}
	return out
}
