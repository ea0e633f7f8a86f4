package answers

import (
	"testing"

	"github.com/shoenig/test/must"
	"pgregory.net/rapid"
)

func drawAnswer(t *rapid.T, name string) []byte {
	var out []byte
	for range rapid.IntRange(1, 8).Draw(t, name+" events") {
		out = append(out, "data: "+rapid.StringMatching(`[a-c]{0,4}`).Draw(t, name)...)
		out = append(out, rapid.SampledFrom([]string{"\n\n", "\r\n\r\n"}).Draw(t, name+" end")...)
	}
	return out
}

// feed gives an answer from an offset on in random parts.
func feed(t *rapid.T, e *EventSplitter, answer []byte, from int) ([]Event, error) {
	var out []Event
	for at := from; at < len(answer); {
		n := rapid.IntRange(1, len(answer)-at).Draw(t, "part")
		events, err := e.Add(uint64(at), answer[at:at+n])
		out = append(out, events...)
		if err != nil {
			return out, err
		}
		at += n
	}
	return out, e.End()
}

func join(events []Event) string {
	var out []byte
	for _, e := range events {
		out = append(out, e.Data...)
	}
	return string(out)
}

func TestEventsJoinToTheAnswer(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		answer := drawAnswer(t, "answer")
		events, err := feed(t, NewEventSplitter("r"), answer, 0)
		must.NoError(t, err)
		must.Eq(t, string(answer), join(events))
		must.Eq(t, uint64(len(answer)), events[len(events)-1].End.Offset)
	})
}

// TestResumeLosesAndRepeatsNothing resumes at every event, by the target and
// by a run that gives the same answer or another one.
func TestResumeLosesAndRepeatsNothing(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		answer := drawAnswer(t, "answer")
		events, err := feed(t, NewEventSplitter("r"), answer, 0)
		must.NoError(t, err)
		cut := events[rapid.IntRange(0, len(events)-1).Draw(t, "cut")].End
		parsed, err := ParsePosition(cut.String())
		must.NoError(t, err)
		must.Eq(t, cut, parsed)
		rest := string(answer[cut.Offset:])

		resumed, err := feed(t, ResumeEventSplitter(parsed), answer, int(cut.Offset))
		must.NoError(t, err)
		must.Eq(t, rest, join(resumed))
		if len(resumed) > 0 {
			must.Eq(t, events[len(events)-1].End, resumed[len(resumed)-1].End)
		}

		again, err := feed(t, ResumeEventSplitter(parsed), answer, 0)
		must.NoError(t, err)
		must.Eq(t, rest, join(again))

		other := drawAnswer(t, "other")
		got, err := feed(t, ResumeEventSplitter(parsed), other, 0)
		same := len(other) >= int(cut.Offset) && string(other[:cut.Offset]) == string(answer[:cut.Offset])
		must.Eq(t, same, err == nil)
		if same {
			must.Eq(t, string(other[cut.Offset:]), join(got))
		} else {
			must.Eq(t, "", join(got))
		}
	})
}

func TestCutEventIsHeldBack(t *testing.T) {
	e := NewEventSplitter("r")
	events, err := e.Add(0, []byte("data: a\n\ndata: b"))
	must.NoError(t, err)
	must.Eq(t, "data: a\n\n", join(events))
	must.ErrorIs(t, e.End(), ErrGap)
	_, err = e.Add(99, []byte("x"))
	must.ErrorIs(t, err, ErrGap)
}

func TestTextsThatAreNoPositions(t *testing.T) {
	for _, text := range []string{"", "r", "r:1", ":1:2", "r:x:2", "r:1:zz", "r:1:2:3", "r:-1:2"} {
		_, err := ParsePosition(text)
		must.ErrorIs(t, err, ErrInvalidPosition)
	}
}
