// Package fencing decides whether a router may give an order, such as a model
// load, to a target.
//
// Each holder of a target claims it in a stream of the log. The place of the
// claim is its fencing number, which rises with each holder. Targets that check
// numbers refuse those of earlier holders by themselves. At the others a holder
// first waits until the lease of the one before has lapsed, and reads the
// stream again before each order.
package fencing

import (
	"fmt"
	"time"

	"github.com/vmihailenco/msgpack/v5"

	"github.com/zinniafork/zinniafork/internal/fleet"
)

// Nonce tells one claim from all others.
type Nonce struct {
	Process uint64 `msgpack:"p"`
	Seq     uint64 `msgpack:"s"`
}

// Claim is the record by which a router becomes the holder of a target.
type Claim struct {
	Target      fleet.Target      `msgpack:"t"`
	Router      fleet.VM          `msgpack:"r"`
	Incarnation fleet.Incarnation `msgpack:"i"`
	Nonce       Nonce             `msgpack:"n"`
}

// Encode returns the bytes that go into the log.
func (c *Claim) Encode() ([]byte, error) {
	data, err := msgpack.Marshal(c)
	if err != nil {
		return nil, fmt.Errorf("encode claim of %s: %w", c.Target, err)
	}
	return data, nil
}

// DecodeClaim reads a claim from the log.
func DecodeClaim(data []byte) (Claim, error) {
	var c Claim
	if err := msgpack.Unmarshal(data, &c); err != nil {
		return Claim{}, fmt.Errorf("decode claim: %w", err)
	}
	return c, nil
}

// RecordedClaim is a claim with its place in the log.
type RecordedClaim struct {
	Claim
	Offset uint64
	// ReadAt is the time at which this router read the claim.
	ReadAt time.Time
}

// Token returns the fencing number of the claim. It is never zero.
func (h *RecordedClaim) Token() uint64 { return h.Offset + 1 }

// ClaimTable is the newest claim of each target, as far as the stream was read.
type ClaimTable struct {
	newest map[fleet.Target]RecordedClaim
	next   uint64
}

// NewClaimTable returns the board of a stream of which nothing was read.
func NewClaimTable() *ClaimTable { return &ClaimTable{newest: make(map[fleet.Target]RecordedClaim)} }

// Next returns the offset of the next record to apply.
func (b *ClaimTable) Next() uint64 { return b.next }

// SkipTo notes that the log holds no records below earliest any more.
func (b *ClaimTable) SkipTo(earliest uint64) { b.next = max(b.next, earliest) }

// Apply takes the claim at an offset. Offsets that were applied before have no
// effect.
func (b *ClaimTable) Apply(now time.Time, offset uint64, c Claim) {
	if offset < b.next {
		return
	}
	b.next = offset + 1
	b.newest[c.Target] = RecordedClaim{Claim: c, Offset: offset, ReadAt: now}
}

// SkipRecord notes a record that is not a claim.
func (b *ClaimTable) SkipRecord(offset uint64) { b.next = max(b.next, offset+1) }

// Newest returns the newest claim of a target.
func (b *ClaimTable) Newest(t fleet.Target) (RecordedClaim, bool) {
	h, ok := b.newest[t]
	return h, ok
}

// Decision is what a holder may do.
type Decision uint8

// Verdicts.
const (
	// Proceed lets the order be sent.
	Proceed Decision = iota + 1
	// Wait means that the holder before may still act.
	Wait
	// Superseded means that another router has claimed the target.
	Superseded
)

// Check decides about an order under a claim. checks is true for a target that
// refuses old numbers; lease bounds how long the holder before may go on after
// the claim was read. The time is zero unless the verdict is Wait.
func (b *ClaimTable) Check(now time.Time, own Nonce, t fleet.Target, checks bool, lease time.Duration) (Decision, time.Duration) {
	h, ok := b.newest[t]
	switch {
	case !ok || h.Nonce != own:
		return Superseded, 0
	case checks:
		return Proceed, 0
	}
	if left := h.ReadAt.Add(lease).Sub(now); left > 0 {
		return Wait, left
	}
	return Proceed, 0
}
