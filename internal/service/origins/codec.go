package origins

import (
	"encoding/binary"
	"fmt"
	"io"
	"time"

	"github.com/zinniafork/zinniafork/internal/core/origin"
	"github.com/zinniafork/zinniafork/internal/fleet"
)

// group holds streams of one origin on the wire and in the log.
type group struct {
	Service fleet.Service `msgpack:"s"`
	Version string        `msgpack:"v"`
	// Streams holds 8 bytes for each stream, little endian.
	Streams []byte `msgpack:"i"`
}

// streamSize is the length in bytes of one stream in a group.
const streamSize = 8

// batch is a record of the log.
type batch struct {
	// AtMS is the Unix time in milliseconds at which it was written.
	AtMS   int64   `msgpack:"a"`
	Groups []group `msgpack:"g,omitempty"`
	// Versions lists the versions of all services, in the slot of that name only.
	Versions []origin.Origin `msgpack:"v,omitempty"`
	// Bases lists the versions that mixed services had alone before, beside Versions.
	Bases []base `msgpack:"b,omitempty"`
	// Era is the era of the log in which Versions and Bases hold. Earlier releases, which
	// wrote no bases, do not name it.
	Era *int64 `msgpack:"e,omitempty"`
}

// basesHold reports whether the log has lost nothing since the batch was written.
func (b *batch) basesHold(era int64) bool { return b.Era == nil || *b.Era == era }

// base is an origin.Base in the log.
type base struct {
	Service fleet.Service `msgpack:"s"`
	Version string        `msgpack:"v"`
	// MixedMS is the Unix time in milliseconds at which the service got mixed.
	MixedMS int64 `msgpack:"m"`
}

// encodeBases returns bases as in the log.
func encodeBases(bases []origin.Base) []base {
	var out []base
	for _, b := range bases {
		out = append(out, base{Service: b.Origin.Service, Version: b.Origin.Version, MixedMS: b.MixedAt.UnixMilli()})
	}
	return out
}

// decodeBases returns the bases of a batch.
func decodeBases(bases []base) []origin.Base {
	var out []origin.Base
	for _, b := range bases {
		out = append(out, origin.Base{Origin: origin.Origin{Service: b.Service, Version: b.Version}, MixedAt: time.UnixMilli(b.MixedMS)})
	}
	return out
}

// query tells origins to a recorder, or asks it for one.
type query struct {
	Groups []group `msgpack:"g,omitempty"`
	// Holds is true if the origins are to be held until their service has several versions,
	// instead of recorded. Routers that do not know it record them.
	Holds bool `msgpack:"h,omitempty"`
	// Asks is true for a question. Stream and Service are those of core/origin's Decide.
	Asks    bool          `msgpack:"q,omitempty"`
	Stream  uint64        `msgpack:"i,omitempty"`
	Service fleet.Service `msgpack:"s,omitempty"`
	// Brief asks for what the router knows, without a look at the log.
	Brief bool `msgpack:"b,omitempty"`
}

// reply answers a query that asks.
type reply struct {
	Verdict uint8         `msgpack:"d,omitempty"`
	Service fleet.Service `msgpack:"s,omitempty"`
	Version string        `msgpack:"v,omitempty"`
}

// verdict decodes the verdict of a reply.
func (r *reply) verdict() (origin.Verdict, error) {
	if v := origin.Verdict(r.Verdict); v <= origin.Known {
		return v, nil
	}
	return origin.Unaware, fmt.Errorf("verdict %d", r.Verdict)
}

// encodeGroups groups records by origin.
func encodeGroups(records []origin.Record) []group {
	index := make(map[origin.Origin]int)
	var out []group
	for _, r := range records {
		i, ok := index[r.Origin]
		if !ok {
			i = len(out)
			index[r.Origin] = i
			out = append(out, group{Service: r.Origin.Service, Version: r.Origin.Version})
		}
		out[i].Streams = binary.LittleEndian.AppendUint64(out[i].Streams, uint64(r.Stream))
	}
	return out
}

// decodeGroups returns the records of groups.
func decodeGroups(groups []group) ([]origin.Record, error) {
	var out []origin.Record
	for _, g := range groups {
		if len(g.Streams)%streamSize != 0 {
			return nil, fmt.Errorf("streams of %s %s: %w", g.Service, g.Version, io.ErrUnexpectedEOF)
		}
		o := origin.Origin{Service: g.Service, Version: g.Version}
		for rest := g.Streams; len(rest) > 0; rest = rest[streamSize:] {
			out = append(out, origin.Record{Stream: origin.Stream(binary.LittleEndian.Uint64(rest)), Origin: o})
		}
	}
	return out, nil
}
