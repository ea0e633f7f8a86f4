package answers

import (
	"testing"

	"github.com/cespare/xxhash/v2"
	"github.com/shoenig/test/must"
	"pgregory.net/rapid"
)

// receiver collects what a join passes on.
type receiver struct {
	joined *Joiner
	got    []byte
}

// run gives the answer from an offset to an end in random parts.
func (r *receiver) run(t *rapid.T, answer []byte, from, to int) error {
	for at := from; at < to; {
		n := rapid.IntRange(1, to-at).Draw(t, "part")
		fresh, offset, err := r.joined.Add(uint64(at), answer[at:at+n])
		if err != nil {
			return err
		}
		if len(fresh) > 0 {
			must.Eq(t, len(r.got), int(offset))
			r.got = append(r.got, fresh...)
		}
		at += n
	}
	return nil
}

// TestJoinedRuns breaks an answer off a few times. Each further run goes on or
// begins again; the receiver must get every byte once.
func TestJoinedRuns(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		answer := rapid.SliceOfN(rapid.Byte(), 1, 60).Draw(t, "answer")
		r := &receiver{joined: NewJoiner()}
		for range rapid.IntRange(0, 3).Draw(t, "cuts") {
			from := 0
			if rapid.Bool().Draw(t, "resumed") {
				from = int(r.joined.Delivered())
			}
			must.NoError(t, r.run(t, answer, from, rapid.IntRange(from, len(answer)).Draw(t, "cut")))
			r.joined.NextRun()
		}
		from := rapid.SampledFrom([]int{0, int(r.joined.Delivered())}).Draw(t, "last run from")
		must.NoError(t, r.run(t, answer, from, len(answer)))
		digest, err := r.joined.End(uint64(len(answer)), xxhash.Sum64(answer))
		must.NoError(t, err)
		must.Eq(t, xxhash.Sum64(answer), digest)
		must.Eq(t, answer, r.got)
	})
}

// TestJoinedOtherAnswer requires that no byte of another answer follows what
// the receiver has, however the parts fall.
func TestJoinedOtherAnswer(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		answer := rapid.SliceOfN(rapid.ByteRange('a', 'b'), 1, 20).Draw(t, "answer")
		other := rapid.SliceOfN(rapid.ByteRange('a', 'b'), 1, 20).Draw(t, "other")
		r := &receiver{joined: NewJoiner()}
		cut := rapid.IntRange(1, len(answer)).Draw(t, "cut")
		must.NoError(t, r.run(t, answer, 0, cut))
		r.joined.NextRun()
		err := r.run(t, other, 0, len(other))
		if err == nil {
			_, err = r.joined.End(uint64(len(other)), xxhash.Sum64(other))
		}
		same := len(other) >= cut && string(other[:cut]) == string(answer[:cut])
		must.Eq(t, same, err == nil)
		if !same {
			must.Eq(t, string(answer[:cut]), string(r.got))
		}
	})
}

func TestJoinedGaps(t *testing.T) {
	cases := map[string]struct {
		first, second uint64
		again         bool
	}{
		"part missing":                      {0, 4, false},
		"part repeated in one run":          {0, 0, false},
		"resumed too far":                   {0, 4, true},
		"resumed too early":                 {0, 1, true},
		"begins again before what is known": {7, 0, true},
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
