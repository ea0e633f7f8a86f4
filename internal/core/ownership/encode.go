package ownership

import (
	"fmt"

	"github.com/vmihailenco/msgpack/v5"

	"github.com/zinniafork/zinniafork/internal/fleet"
	"github.com/zinniafork/zinniafork/internal/wire/ints"
)

// DecodeMsgpack decodes a request. The number of fields may differ from this
// version's.
func (r *Request) DecodeMsgpack(dec *msgpack.Decoder) error {
	return ints.DecodeFields(dec, &r.Seq, &r.Process, &r.Claims)
}

// DecodeMsgpack decodes a reply. The number of fields may differ from this
// version's.
func (r *Reply) DecodeMsgpack(dec *msgpack.Decoder) error {
	return ints.DecodeFields(dec, &r.Seq, &r.Votes)
}

// claimInts is the number of integers of an encoded claim before its voter set
// hashes, and maxVoterSets the largest number of these hashes.
const (
	claimInts    = 5
	maxVoterSets = 16
)

// EncodeMsgpack encodes the claim as a flat array of integers.
func (c *Claim) EncodeMsgpack(enc *msgpack.Encoder) error {
	values := make([]uint64, claimInts, claimInts+maxVoterSets)
	values[0], values[1], values[2] = uint64(c.ID), uint64(c.Kind), c.Term
	values[3], values[4] = uint64(c.MaxInFlight), uint64(c.Pending)
	for _, h := range c.VoterSets[:min(len(c.VoterSets), maxVoterSets)] {
		values = append(values, uint64(h))
	}
	return ints.Encode(enc, values...)
}

// DecodeMsgpack decodes what EncodeMsgpack wrote.
func (c *Claim) DecodeMsgpack(dec *msgpack.Decoder) error {
	n, err := dec.DecodeArrayLen()
	if err != nil {
		return fmt.Errorf("decode claim: %w", err)
	}
	var v [claimInts + maxVoterSets]uint64
	if err := ints.DecodeElements(dec, v[:], n); err != nil {
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

// voteInts is the number of integers of an encoded vote. A vote with a holder
// or missing voter sets has these two fields after the integers.
const voteInts = 9

// EncodeMsgpack encodes the vote as an array without field names.
func (v *Vote) EncodeMsgpack(enc *msgpack.Encoder) error {
	values := [voteInts]uint64{
		uint64(v.Code), uint64(v.History), v.Term, boolToUint(v.TermComplete),
		uint64(v.Residual), uint64(v.ResidualMS), uint64(v.Pending), uint64(v.PendingMS), uint64(v.RetryMS),
	}
	if v.Holder == "" && v.MissingVoterSets == nil {
		return ints.Encode(enc, values[:]...)
	}
	if err := enc.EncodeArrayLen(voteInts + 2); err != nil {
		return fmt.Errorf("encode vote: %w", err)
	}
	if err := ints.EncodeElements(enc, values[:]); err != nil {
		return err
	}
	return enc.EncodeMulti(string(v.Holder), v.MissingVoterSets)
}

// DecodeMsgpack decodes what EncodeMsgpack wrote.
func (v *Vote) DecodeMsgpack(dec *msgpack.Decoder) error {
	n, err := dec.DecodeArrayLen()
	if err != nil {
		return fmt.Errorf("decode vote: %w", err)
	}
	var values [voteInts]uint64
	if err := ints.DecodeElements(dec, values[:], min(n, voteInts)); err != nil {
		return err
	}
	*v = Vote{
		Code: VoteCode(values[0]), History: History(values[1]), Term: values[2], TermComplete: values[3] != 0,
		Residual: uint32(values[4]), ResidualMS: uint32(values[5]), Pending: uint32(values[6]), PendingMS: uint32(values[7]), RetryMS: uint32(values[8]),
	}
	if n <= voteInts {
		return nil
	}
	var holder string
	if err := dec.DecodeMulti(&holder, &v.MissingVoterSets); err != nil {
		return fmt.Errorf("decode vote: %w", err)
	}
	v.Holder = fleet.VM(holder)
	return nil
}

// boolToUint returns 1 for true and 0 for false.
func boolToUint(b bool) uint64 {
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
