package answers

import (
	"testing"

	"github.com/shoenig/test/must"
	"pgregory.net/rapid"
)

func drawResponse(t *rapid.T, name string) []byte {
	var out []byte
	for range rapid.IntRange(1, 8).Draw(t, name+" events") {
		out = append(out, "data: "+rapid.StringMatching(`[a-c]{0,4}`).Draw(t, name)...)
		out = append(out, rapid.SampledFrom([]string{"\n\n", "\r\n\r\n"}).Draw(t, name+" end")...)
	}
	return out
}

// feed adds a response from an offset on in parts of random length.
func feed(t *rapid.T, e *EventSplitter, response []byte, from int) ([]Event, error) {
	var out []Event
	for at := from; at < len(response); {
		n := rapid.IntRange(1, len(response)-at).Draw(t, "part")
		events, err := e.Add(uint64(at), response[at:at+n])
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

func TestEventsJoinToResponse(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		response := drawResponse(t, "answer")
		events, err := feed(t, NewEventSplitter("r"), response, 0)
		must.NoError(t, err)
		must.Eq(t, string(response), join(events))
		must.Eq(t, uint64(len(response)), events[len(events)-1].End.Offset)
	})
}

// TestResumeNeitherLosesNorRepeatsEvents resumes after an event, first at a
// target that continues the response, then with a run that gives the same
// response or another one.
func TestResumeNeitherLosesNorRepeatsEvents(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		response := drawResponse(t, "answer")
		events, err := feed(t, NewEventSplitter("r"), response, 0)
		must.NoError(t, err)
		cut := events[rapid.IntRange(0, len(events)-1).Draw(t, "cut")].End
		parsed, err := ParsePosition(cut.String())
		must.NoError(t, err)
		must.Eq(t, cut, parsed)
		rest := string(response[cut.Offset:])

		resumed, err := feed(t, ResumeEventSplitter(parsed), response, int(cut.Offset))
		must.NoError(t, err)
		must.Eq(t, rest, join(resumed))
		if len(resumed) > 0 {
			must.Eq(t, events[len(events)-1].End, resumed[len(resumed)-1].End)
		}

		again, err := feed(t, ResumeEventSplitter(parsed), response, 0)
		must.NoError(t, err)
		must.Eq(t, rest, join(again))

		other := drawResponse(t, "other")
		got, err := feed(t, ResumeEventSplitter(parsed), other, 0)
		same := len(other) >= int(cut.Offset) && string(other[:cut.Offset]) == string(response[:cut.Offset])
		must.Eq(t, same, err == nil)
		if same {
			must.Eq(t, string(other[cut.Offset:]), join(got))
		} else {
			must.Eq(t, "", join(got))
		}
	})
}

func TestIncompleteEventIsHeldBack(t *testing.T) {
	e := NewEventSplitter("r")
	events, err := e.Add(0, []byte("data: a\n\ndata: b"))
	must.NoError(t, err)
	must.Eq(t, "data: a\n\n", join(events))
	must.ErrorIs(t, e.End(), ErrGap)
	_, err = e.Add(99, []byte("x"))
	must.ErrorIs(t, err, ErrGap)
}

func TestInvalidPositions(t *testing.T) {
	for _, text := range []string{"", "r", "r:1", ":1:2", "r:x:2", "r:1:zz", "r:1:2:3", "r:-1:2"} {
		_, err := ParsePosition(text)
		must.ErrorIs(t, err, ErrInvalidPosition)
	}
}
