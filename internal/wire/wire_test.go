package wire

import (
	"bytes"
	"errors"
	"io"
	"testing"

	"github.com/cespare/xxhash/v2"
	"github.com/shoenig/test/must"
	"pgregory.net/rapid"

	"github.com/zinniafork/zinniafork/internal/call"
)

func TestFramesRoundTrip(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		frames := rapid.SliceOfN(rapid.Custom(func(t *rapid.T) Frame {
			return Frame{
				Type:    Type(rapid.IntRange(1, int(typeLimit)-1).Draw(t, "type")),
				Stream:  rapid.Uint64().Draw(t, "stream"),
				Kind:    rapid.String().Draw(t, "kind"),
				Request: call.ID(rapid.String().Draw(t, "request")),
				Attempt: call.Attempt(rapid.Uint32().Draw(t, "attempt")),
				Offset:  rapid.Uint64().Draw(t, "offset"),
				Body:    rapid.SliceOfN(rapid.Byte(), 1, 300_000).Draw(t, "body"),
			}
		}), 1, 4).Draw(t, "frames")
		var data []byte
		var err error
		for i := range frames {
			data, err = Append(data, &frames[i])
			must.NoError(t, err)
		}
		in := NewReader(bytes.NewReader(data), DefaultMaxFrameBytes)
		total := 0
		for _, want := range frames {
			got, size, err := in.Read()
			must.NoError(t, err)
			must.Eq(t, want, got)
			total += size
		}
		must.Eq(t, len(data), total)
		_, _, err = in.Read()
		must.ErrorIs(t, err, io.EOF)
	})
}

func TestTruncatedFrame(t *testing.T) {
	data, err := Append(nil, &Frame{Type: TypeControl, Kind: "k", Body: []byte("abc")})
	must.NoError(t, err)
	for n := 1; n < len(data); n++ {
		_, _, err := NewReader(bytes.NewReader(data[:n]), DefaultMaxFrameBytes).Read()
		must.ErrorIs(t, err, io.ErrUnexpectedEOF)
	}
}

func TestDecodeSkipsFieldsOfLaterVersions(t *testing.T) {
	data, err := Marshal([]any{TypePing, 0, "", "", 0, 0, nil, "a later field", 7})
	must.NoError(t, err)
	var f Frame
	must.NoError(t, Unmarshal(data, &f))
	must.Eq(t, TypePing, f.Type)
}

func FuzzRead(f *testing.F) {
	good, _ := Append(nil, &Frame{Type: TypeChunk, Stream: 1, Request: "r", Offset: 7, Body: []byte("abc")})
	f.Add(good)
	f.Add([]byte{0, 0, 0, 3, 0xc1, 0xc1, 0xc1})
	f.Add([]byte{0xff, 0xff, 0xff, 0xff, 1})
	f.Fuzz(func(t *testing.T, data []byte) {
		in := NewReader(bytes.NewReader(data), 1<<16)
		for {
			frame, size, err := in.Read()
			if err != nil {
				return
			}
			if !frame.Type.Valid() || size > HeaderBytes+1<<16 {
				t.Fatalf("frame of type %d and %d bytes", frame.Type, size)
			}
			if _, err := Append(nil, &frame); err != nil {
				t.Fatal(err)
			}
		}
	})
}

func TestNegotiate(t *testing.T) {
	cases := []struct {
		name          string
		local, remote Hello
		version       int
		compatible    bool
	}{
		{"same", Hello{MinVersion: 1, MaxVersion: 1}, Hello{MinVersion: 1, MaxVersion: 1}, 1, true},
		{"newer and older", Hello{MinVersion: 1, MaxVersion: 3}, Hello{MinVersion: 1, MaxVersion: 2}, 2, true},
		{"touching", Hello{MinVersion: 2, MaxVersion: 3}, Hello{MinVersion: 1, MaxVersion: 2}, 2, true},
		{"apart", Hello{MinVersion: 3, MaxVersion: 4}, Hello{MinVersion: 1, MaxVersion: 2}, 0, false},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			for _, pair := range [][2]Hello{{c.local, c.remote}, {c.remote, c.local}} {
				version, err := Negotiate(pair[0], pair[1])
				must.Eq(t, c.version, version)
				must.Eq(t, c.compatible, err == nil)
			}
		})
	}
}

func TestReplayWindowAcceptsEachNumberOnce(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var w ReplayWindow
		accepted := make(map[uint64]bool)
		var highest uint64
		for range rapid.IntRange(1, 200).Draw(t, "steps") {
			base := highest
			low := uint64(0)
			if base > 2*replayWindow {
				low = base - 2*replayWindow
			}
			n := rapid.Uint64Range(low/2, base/2+2*replayWindow).Draw(t, "n") * 2
			belowWindow := n/2+replayWindow <= highest/2
			must.Eq(t, !belowWindow && !accepted[n], w.Add(n))
			accepted[n] = true
			highest = max(highest, n)
		}
	})
}

func TestResponseChecker(t *testing.T) {
	body := []byte("abcdef")
	head := &Frame{Type: TypeHead, Request: "r", Attempt: 1}
	chunk := func(offset, end uint64) *Frame {
		return &Frame{Type: TypeChunk, Request: "r", Attempt: 1, Offset: offset, Body: body[offset:end]}
	}
	endFrame := &Frame{Type: TypeEnd, Request: "r", Attempt: 1}
	cases := []struct {
		name       string
		resumeFrom uint64
		frames     []*Frame
		want       []Decision
	}{
		{"whole", 0, []*Frame{head, chunk(0, 3), chunk(3, 6), endFrame}, []Decision{Accept, Accept, Accept, Accept}},
		{"resumed", 3, []*Frame{head, chunk(3, 6), endFrame}, []Decision{Accept, Accept, Accept}},
		{"resumed at the end", 6, []*Frame{head, endFrame}, []Decision{Accept, Accept}},
		{"resumed from the start", 3, []*Frame{head, chunk(0, 6), endFrame}, []Decision{Accept, Accept, Accept}},
		{"resumed elsewhere", 2, []*Frame{head, chunk(3, 6)}, []Decision{Accept, Invalid}},
		{"repeated chunk", 0, []*Frame{head, chunk(0, 3), chunk(0, 3), chunk(3, 6), endFrame}, []Decision{Accept, Accept, DropDuplicate, Accept, Accept}},
		{"repeated head", 0, []*Frame{head, head}, []Decision{Accept, DropDuplicate}},
		{"repeated end", 0, []*Frame{head, chunk(0, 6), endFrame, endFrame}, []Decision{Accept, Accept, Accept, DropDuplicate}},
		{"gap", 0, []*Frame{head, chunk(0, 2), chunk(3, 6)}, []Decision{Accept, Accept, Invalid}},
		{"short", 0, []*Frame{head, chunk(0, 3), endFrame}, []Decision{Accept, Accept, Invalid}},
		{"chunk before the head", 0, []*Frame{chunk(0, 3)}, []Decision{Invalid}},
		{"end before the head", 0, []*Frame{endFrame}, []Decision{Invalid}},
		{"chunk after the end", 0, []*Frame{head, chunk(0, 6), endFrame, chunk(0, 3)}, []Decision{Accept, Accept, Accept, Invalid}},
		{"other request", 0, []*Frame{{Type: TypeHead, Request: "s", Attempt: 1}, head}, []Decision{DropForeign, Accept}},
		{"other attempt", 0, []*Frame{head, {Type: TypeChunk, Request: "r", Attempt: 2, Body: body}}, []Decision{Accept, DropForeign}},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			checker := NewResponseChecker("r", c.resumeFrom)
			end := call.End{Length: 6, Digest: xxhash.Sum64(body)}
			for i, f := range c.frames {
				var got Decision
				switch f.Type {
				case TypeHead:
					got = checker.CheckHead(f)
				case TypeChunk:
					got = checker.CheckChunk(f)
				default:
					got, _ = checker.CheckEnd(f, end)
				}
				must.Eq(t, c.want[i], got, must.Sprintf("frame %d", i))
			}
		})
	}
}

func TestWrongDigestIsInvalid(t *testing.T) {
	checker := NewResponseChecker("r", 0)
	must.Eq(t, Accept, checker.CheckHead(&Frame{Request: "r"}))
	must.Eq(t, Accept, checker.CheckChunk(&Frame{Request: "r", Body: []byte("abc")}))
	decision, err := checker.CheckEnd(&Frame{Request: "r"}, call.End{Length: 3, Digest: 1})
	must.Eq(t, Invalid, decision)
	must.True(t, errors.Is(err, ErrMalformed))
}
