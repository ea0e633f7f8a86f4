package ownership_test

import (
	"testing"

	"github.com/shoenig/test/must"
	"pgregory.net/rapid"

	"github.com/zinniafork/zinniafork/internal/core/ownership"
	"github.com/zinniafork/zinniafork/internal/fleet"
	"github.com/zinniafork/zinniafork/internal/wire"
)

func TestMessagesRoundTrip(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		req := ownership.Request{
			Seq:     rapid.Uint64().Draw(t, "seq"),
			Process: ownership.Process(rapid.Uint32().Draw(t, "process")),
		}
		reply := ownership.Reply{Seq: req.Seq}
		for range rapid.IntRange(0, 4).Draw(t, "claims") {
			req.Claims = append(req.Claims, ownership.Claim{
				ID:          ownership.ID(rapid.Uint32().Draw(t, "id")),
				Kind:        ownership.ClaimKind(rapid.IntRange(1, 4).Draw(t, "kind")),
				MaxInFlight: rapid.Uint32().Draw(t, "ceiling"),
				Pending:     rapid.Uint32Range(0, 2).Draw(t, "pending"),
				Term:        rapid.Uint64().Draw(t, "term"),
				VoterSets:   rapid.SliceOfN(rapid.Custom(drawHash), 1, 3).Draw(t, "sets"),
			})
			v := ownership.Vote{
				Code:         ownership.VoteCode(rapid.IntRange(1, 4).Draw(t, "code")),
				History:      ownership.History(rapid.IntRange(0, 2).Draw(t, "memory")),
				Term:         rapid.Uint64Range(0, 3).Draw(t, "term"),
				TermComplete: rapid.Bool().Draw(t, "complete"),
				Residual:     rapid.Uint32Range(0, 9).Draw(t, "residual"),
				ResidualMS:   rapid.Uint32().Draw(t, "ms"),
				PendingMS:    rapid.Uint32Range(0, 1).Draw(t, "pendingMS"),
				RetryMS:      rapid.Uint32Range(0, 1).Draw(t, "retry"),
			}
			if rapid.Bool().Draw(t, "named") {
				v.Holder = fleet.VM(rapid.StringN(0, 9, 9).Draw(t, "holder"))
				v.MissingVoterSets = [][]fleet.VM{{"a", "b"}, {"c"}}
			}
			reply.Votes = append(reply.Votes, v)
		}
		var gotReq ownership.Request
		roundTrip(t, &req, &gotReq)
		var gotReply ownership.Reply
		roundTrip(t, &reply, &gotReply)
	})
}

// drawHash draws a voter set hash, which is never zero.
func drawHash(t *rapid.T) ownership.VoterSetHash {
	return ownership.VoterSetHash(rapid.Uint32Min(1).Draw(t, "hash"))
}

// roundTrip checks that decoding restores what was encoded.
func roundTrip[T any](t *rapid.T, in, out *T) {
	data, err := wire.Marshal(in)
	must.NoError(t, err)
	must.NoError(t, wire.Unmarshal(data, out))
	must.Eq(t, *in, *out)
}

// TestConfirmationMessageSize limits the size of the messages that confirm each
// request, because the bandwidth budget for control traffic depends on it.
func TestConfirmationMessageSize(t *testing.T) {
	req := ownership.Request{Seq: 1000, Process: 1 << 30, Claims: []ownership.Claim{{
		ID: 1 << 30, Kind: ownership.ClaimRenew, MaxInFlight: 5, Pending: 1, Term: 3, VoterSets: []ownership.VoterSetHash{1 << 31},
	}}}
	data, err := wire.Marshal(&req)
	must.NoError(t, err)
	must.LessEq(t, 26, len(data))
	reply := ownership.Reply{Seq: 1000, Votes: []ownership.Vote{{Code: ownership.Granted}}}
	data, err = wire.Marshal(&reply)
	must.NoError(t, err)
	must.LessEq(t, 7, len(data))
}
