package origins

import (
	"testing"

	"github.com/shoenig/test/must"
	"pgregory.net/rapid"

	"github.com/zinniafork/zinniafork/internal/core/origin"
	"github.com/zinniafork/zinniafork/internal/fleet"
	"github.com/zinniafork/zinniafork/internal/wire"
)

func TestGroupsRoundTrip(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		names := rapid.SampledFrom([]string{"", "a", "b"})
		want := make(map[origin.Stream]origin.Origin)
		var records []origin.Record
		for _, id := range rapid.SliceOfDistinct(rapid.Uint64(), rapid.ID).Draw(t, "streams") {
			o := origin.Origin{Service: fleet.Service(names.Draw(t, "service")), Version: names.Draw(t, "version")}
			records = append(records, origin.Record{Stream: origin.Stream(id), Origin: o})
			want[origin.Stream(id)] = o
		}
		payload, err := wire.Marshal(&batch{AtMS: 5, Groups: encodeGroups(records)})
		must.NoError(t, err)
		var b batch
		must.NoError(t, wire.Unmarshal(payload, &b))
		decoded, err := decodeGroups(b.Groups)
		must.NoError(t, err)
		got := make(map[origin.Stream]origin.Origin)
		for _, r := range decoded {
			got[r.Stream] = r.Origin
		}
		must.Eq(t, want, got)
	})
}

func TestMalformedOriginsAreRefused(t *testing.T) {
	_, err := decodeGroups([]group{{Service: "a", Streams: make([]byte, streamSize+1)}})
	must.Error(t, err)
	r := reply{Verdict: uint8(origin.Known) + 1}
	_, err = r.verdict()
	must.Error(t, err)
}
