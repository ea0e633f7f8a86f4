package ownership

import (
	"fmt"

	"github.com/vmihailenco/msgpack/v5"

	"github.com/zinniafork/zinniafork/internal/fleet"
	"github.com/zinniafork/zinniafork/internal/wire/ints"
)

// DecodeMsgpack reads a request of this or another version.
func (r *Request) DecodeMsgpack(dec *msgpack.Decoder) error {
	return ints.Fields(dec, &r.Seq, &r.Process, &r.Claims)
}

// DecodeMsgpack reads a reply of this or another version.
func (r *Reply) DecodeMsgpack(dec *msgpack.Decoder) error {
	return ints.Fields(dec, &r.Seq, &r.Votes)
}

// claimInts is the number of integers of a claim, before those of its sets, and
// maxSets limits the sets.
const (
	claimInts = 5
	maxSets   = 16
)

// EncodeMsgpack writes the claim as a short array.
func (c *Claim) EncodeMsgpack(enc *msgpack.Encoder) error {
	values := make([]uint64, claimInts, claimInts+maxSets)
	values[0], values[1], values[2] = uint64(c.ID), uint64(c.Kind), c.Term
	values[3], values[4] = uint64(c.MaxInFlight), uint64(c.Pending)
	for _, h := range c.VoterSets[:min(len(c.VoterSets), maxSets)] {
		values = append(values, uint64(h))
	}
	return ints.Encode(enc, values...)
}

// DecodeMsgpack reads what EncodeMsgpack wrote.
func (c *Claim) DecodeMsgpack(dec *msgpack.Decoder) error {
	n, err := dec.DecodeArrayLen()
	if err != nil {
		return fmt.Errorf("decode claim: %w", err)
	}
	var v [claimInts + maxSets]uint64
	if err := ints.Read(dec, v[:], n); err != nil {
		return err
	}
	*c = Claim{
		ID:          ID(v[0]),
		Kind:        ClaimKind(v[1]),
		Term:        v[2],
		MaxInFlight: uint32(v[3]),
		Pending:     uint32(v[4]),
	}
	for i := claimInts; i < n; i++ {
		c.VoterSets = append(c.VoterSets, VoterSetHash(v[i]))
	}
	return nil
}

// verdictInts is the number of integers of a verdict. A verdict that names a
// holder or voter sets has these behind all of them.
const verdictInts = 9

// EncodeMsgpack writes the verdict as a short array.
func (v *Vote) EncodeMsgpack(enc *msgpack.Encoder) error {
	values := [verdictInts]uint64{
		uint64(v.Code), uint64(v.History), v.Term, flag(v.TermComplete),
		uint64(v.Residual), uint64(v.ResidualMS), uint64(v.Pending), uint64(v.PendingMS), uint64(v.RetryMS),
	}
	if v.Holder == "" && v.MissingVoterSets == nil {
		return ints.Encode(enc, values[:]...)
	}
	if err := enc.EncodeArrayLen(verdictInts + 2); err != nil {
		return fmt.Errorf("encode verdict: %w", err)
	}
	if err := ints.Append(enc, values[:]); err != nil {
		return err
	}
	return enc.EncodeMulti(string(v.Holder), v.MissingVoterSets)
}

// DecodeMsgpack reads what EncodeMsgpack wrote.
func (v *Vote) DecodeMsgpack(dec *msgpack.Decoder) error {
	n, err := dec.DecodeArrayLen()
	if err != nil {
		return fmt.Errorf("decode verdict: %w", err)
	}
	var x [verdictInts]uint64
	if err := ints.Read(dec, x[:], min(n, verdictInts)); err != nil {
		return err
	}
	*v = Vote{
		Code: VoteCode(x[0]), History: History(x[1]), Term: x[2], TermComplete: x[3] != 0,
		Residual: uint32(x[4]), ResidualMS: uint32(x[5]), Pending: uint32(x[6]), PendingMS: uint32(x[7]), RetryMS: uint32(x[8]),
	}
	if n <= verdictInts {
		return nil
	}
	var holder string
	if err := dec.DecodeMulti(&holder, &v.MissingVoterSets); err != nil {
		return fmt.Errorf("decode verdict: %w", err)
	}
	v.Holder = fleet.VM(holder)
	return nil
}

func flag(b bool) uint64 {
	if b {
		return 1
	}
	return 0
}

// Interface guards.
var (
	_ msgpack.CustomEncoder = (*Claim)(nil)
	_ msgpack.CustomDecoder = (*Claim)(nil)
	_ msgpack.CustomEncoder = (*Vote)(nil)
	_ msgpack.CustomDecoder = (*Vote)(nil)
)
