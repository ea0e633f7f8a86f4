// Package fencing decides whether a router may send an order, such as a model
// load, to a target, so that no earlier owner of the target can send an older
// order after it.
//
// Each owner of a target appends a claim to a stream of the log. The offset of
// the claim gives its fencing token, which increases with each owner. Targets
// that check tokens reject orders of earlier owners themselves. For other
// targets, an owner first waits until the lease of the previous owner has
// expired, and reads the stream again before each order.
package fencing

import (
	"fmt"
	"time"

	"github.com/vmihailenco/msgpack/v5"

	"github.com/zinniafork/zinniafork/internal/fleet"
	"github.com/zinniafork/zinniafork/internal/wire"
)

// Nonce identifies one claim: a random number of the process and a sequence
// number.
type Nonce struct {
	Process uint64 `msgpack:"p"`
	Seq     uint64 `msgpack:"s"`
}

// Claim is the record by which a router becomes the owner of a target for
// orders.
type Claim struct {
	Target      fleet.Target      `msgpack:"t"`
	Router      fleet.VM          `msgpack:"r"`
	Incarnation fleet.Incarnation `msgpack:"i"`
	Nonce       Nonce             `msgpack:"n"`
}

// Encode returns the claim in MessagePack for the log.
func (c *Claim) Encode() ([]byte, error) {
	data, err := msgpack.Marshal(c)
	if err != nil {
		return nil, fmt.Errorf("encode claim of %s: %w", c.Target, err)
	}
	return data, nil
}

// DecodeClaim decodes a claim from the log.
func DecodeClaim(data []byte) (Claim, error) {
	var c Claim
	if err := wire.Unmarshal(data, &c); err != nil {
		return Claim{}, fmt.Errorf("decode claim: %w", err)
	}
	return c, nil
}

// RecordedClaim is a claim with its offset in the log.
type RecordedClaim struct {
	Claim
	Offset uint64
	// ReadAt is the time at which this router read the claim.
	ReadAt time.Time
}

// Token returns the fencing token of the claim. It is never zero.
func (c *RecordedClaim) Token() uint64 { return c.Offset + 1 }

// ClaimTable holds the newest claim of each target, as far as the stream has
// been read. It is not safe for concurrent use.
type ClaimTable struct {
	newest map[fleet.Target]RecordedClaim
	next   uint64
}

// NewClaimTable returns the table of a stream of which nothing has been read.
func NewClaimTable() *ClaimTable { return &ClaimTable{newest: make(map[fleet.Target]RecordedClaim)} }

// Next returns the offset of the next record to apply.
func (t *ClaimTable) Next() uint64 { return t.next }

// SkipTo skips the records below earliest, which the log no longer holds.
func (t *ClaimTable) SkipTo(earliest uint64) { t.next = max(t.next, earliest) }

// Apply adds the claim at an offset. Offsets below Next have no effect.
func (t *ClaimTable) Apply(now time.Time, offset uint64, c Claim) {
	if offset < t.next {
		return
	}
	t.next = offset + 1
	t.newest[c.Target] = RecordedClaim{Claim: c, Offset: offset, ReadAt: now}
}

// SkipRecord skips a record that is not a claim.
func (t *ClaimTable) SkipRecord(offset uint64) { t.next = max(t.next, offset+1) }

// Newest returns the newest claim of a target.
func (t *ClaimTable) Newest(target fleet.Target) (RecordedClaim, bool) {
	c, ok := t.newest[target]
	return c, ok
}

// Decision tells whether an owner may send an order.
type Decision uint8

// Decisions about an order.
const (
	// Proceed: the order may be sent.
	Proceed Decision = iota + 1
	// Wait: the previous owner may still send orders.
	Wait
	// Superseded: another router has claimed the target, or the claim was not
	// read yet.
	Superseded
)

// Check decides about an order under a claim. checksTokens is true for a target
// that rejects old tokens. lease bounds how long the previous owner may
// continue after this router read the claim. The duration is the time to wait,
// zero unless the decision is Wait.
func (t *ClaimTable) Check(now time.Time, own Nonce, target fleet.Target, checksTokens bool, lease time.Duration) (Decision, time.Duration) {
	newest, ok := t.newest[target]
	switch {
	case !ok || newest.Nonce != own:
		return Superseded, 0
	case checksTokens:
		return Proceed, 0
	}
	if left := newest.ReadAt.Add(lease).Sub(now); left > 0 {
		return Wait, left
	}
	return Proceed, 0
}
