// Package origins lets every router know at which software version a stream began, so that
// callers can take it up at any of them.
//
// The decisions are in core/origin. While targets of several versions serve, each router
// sends the origins of its streams to a recorder, a router on which all agree. The recorder
// keeps them and writes them to the platform's log in batches, one each writePeriod at most,
// whatever the number of routers and streams. The first event of a stream waits for that,
// recordTimeout at most: what a caller has seen of a stream then outlasts all routers. A
// router that a caller returns to asks the recorder, which reads the log if it lacks the
// stream. Without a recorder it reads the log itself.
//
// While all targets have one version, a router tells what it begins to one other, each
// tellPeriod and without the log. That one records it if another version starts, as the
// router that began it may be lost by then.
package origins

import (
	"context"

	"github.com/zinniafork/zinniafork/internal/core/origin"
	"github.com/zinniafork/zinniafork/internal/fleet"
)

// Name is the service's name in the kernel.
const Name = "origins"

// Origins knows where streams began. Its methods are safe for concurrent use.
type Origins interface {
	// Began records the origin of the stream that a caller's attempt has begun. It returns
	// once that outlasts this router, after recordTimeout or with the end of ctx, and at
	// once while all targets have one version.
	Began(ctx context.Context, attempt string, o origin.Origin)
	// Find returns the origin of the stream that an attempt began, and how it is known. The
	// service is the one at which the stream is taken up. It takes lookupTimeout at most.
	Find(ctx context.Context, attempt string, service fleet.Service) (origin.Origin, origin.Verdict)
}

// Position is a position in the log of origins. Zero is its beginning.
type Position struct {
	Offset int64
	// Era is the era of the log that the offset belongs to.
	Era int64
}

// Log keeps batches of origins in the platform's log, so that they outlive all routers. The
// site's source implements it.
type Log interface {
	// WriteOrigins writes a batch under a slot, in place of the one that was there.
	WriteOrigins(ctx context.Context, slot string, batch []byte) error
	// ReadOrigins returns the batches written from a position on, and the position after
	// them. It returns all that are kept if the log has been restored from a copy since.
	ReadOrigins(ctx context.Context, from Position) ([][]byte, Position, error)
}
