package answers_test

import (
	"testing"

	"github.com/shoenig/test/must"

	"github.com/zinniafork/zinniafork/internal/lab/check/answers"
	"github.com/zinniafork/zinniafork/internal/lab/history"
)

func TestCheck(t *testing.T) {
	cases := []struct {
		name   string
		answer string
		whole  bool
		wrong  int
	}{
		{"whole", "a b c ", true, 0},
		{"refused", "", false, 0},
		{"cut and said so", "a b ", false, 0},
		{"cut and shown as whole", "a b ", true, 1},
		{"empty and shown as whole", "", true, 1},
		{"crossed", "x y z ", true, 1},
		{"crossed part", "a x ", false, 1},
		{"too long", "a b c c ", true, 1},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			h := &history.History{Requests: []history.Request{{
				Kind:     history.KindChat,
				Want:     "a b c ",
				Answer:   c.answer,
				Attempts: []history.Attempt{{Whole: c.whole}},
			}}}
			wrong, violations := answers.Check(h)
			must.Eq(t, c.wrong, wrong)
			must.Len(t, c.wrong, violations)
		})
	}
}
