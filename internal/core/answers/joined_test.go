package answers

import (
	"testing"

	"github.com/cespare/xxhash/v2"
	"github.com/shoenig/test/must"
	"pgregory.net/rapid"
)

// receiver collects what a joiner delivers.
type receiver struct {
	joiner *Joiner
	got    []byte
}

// run adds a response between two offsets in parts of random length.
func (r *receiver) run(t *rapid.T, response []byte, from, to int) error {
	for at := from; at < to; {
		n := rapid.IntRange(1, to-at).Draw(t, "part")
		newData, offset, err := r.joiner.Add(uint64(at), response[at:at+n])
		if err != nil {
			return err
		}
		if len(newData) > 0 {
			must.Eq(t, len(r.got), int(offset))
			r.got = append(r.got, newData...)
		}
		at += n
	}
	return nil
}

// TestJoinerDeliversEveryByteOnce interrupts a response several times. Each
// later run continues or starts from the beginning; the receiver must get every
// byte once.
func TestJoinerDeliversEveryByteOnce(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		response := rapid.SliceOfN(rapid.Byte(), 1, 60).Draw(t, "answer")
		r := &receiver{joiner: NewJoiner()}
		for range rapid.IntRange(0, 3).Draw(t, "cuts") {
			from := 0
			if rapid.Bool().Draw(t, "resumed") {
				from = int(r.joiner.Delivered())
			}
			must.NoError(t, r.run(t, response, from, rapid.IntRange(from, len(response)).Draw(t, "cut")))
			r.joiner.NextRun()
		}
		from := rapid.SampledFrom([]int{0, int(r.joiner.Delivered())}).Draw(t, "last run from")
		must.NoError(t, r.run(t, response, from, len(response)))
		digest, err := r.joiner.End(uint64(len(response)), xxhash.Sum64(response))
		must.NoError(t, err)
		must.Eq(t, xxhash.Sum64(response), digest)
		must.Eq(t, response, r.got)
	})
}

// TestJoinerRejectsOtherResponse checks that no byte of a different response
// follows what the receiver has, however the response is split into parts.
func TestJoinerRejectsOtherResponse(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		response := rapid.SliceOfN(rapid.ByteRange('a', 'b'), 1, 20).Draw(t, "answer")
		other := rapid.SliceOfN(rapid.ByteRange('a', 'b'), 1, 20).Draw(t, "other")
		r := &receiver{joiner: NewJoiner()}
		cut := rapid.IntRange(1, len(response)).Draw(t, "cut")
		must.NoError(t, r.run(t, response, 0, cut))
		r.joiner.NextRun()
		err := r.run(t, other, 0, len(other))
		if err == nil {
			_, err = r.joiner.End(uint64(len(other)), xxhash.Sum64(other))
		}
		same := len(other) >= cut && string(other[:cut]) == string(response[:cut])
		must.Eq(t, same, err == nil)
		if !same {
			must.Eq(t, string(response[:cut]), string(r.got))
		}
	})
}

func TestJoinerGaps(t *testing.T) {
	cases := map[string]struct {
		first, second uint64
		again         bool
	}{
		"part missing":                            {0, 4, false},
		"part repeated in one run":                {0, 0, false},
		"resumed too far":                         {0, 4, true},
		"resumed too early":                       {0, 1, true},
		"starts over before the first known byte": {7, 0, true},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			j := NewJoiner()
			_, _, err := j.Add(c.first, []byte("abc"))
			must.NoError(t, err)
			if c.again {
				j.NextRun()
			}
			_, _, err = j.Add(c.second, []byte("abc"))
			must.ErrorIs(t, err, ErrGap)
		})
	}
	j := NewJoiner()
	_, _, err := j.Add(0, []byte("abc"))
	must.NoError(t, err)
	_, err = j.End(4, xxhash.Sum64String("abc"))
	must.ErrorIs(t, err, ErrIncomplete)
	_, err = j.End(3, 0)
	must.ErrorIs(t, err, ErrIncomplete)
	_, err = j.End(3, xxhash.Sum64String("abc"))
	must.NoError(t, err)
}
