package forward

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/zinniafork/zinniafork/internal/core/balance"
	"github.com/zinniafork/zinniafork/internal/core/routing"
)

// reader is a caller that does something while it reads the body of a response.
type reader struct {
	ResponseWriter
	reads func()
}

func (*reader) WriteHead(*Response) {}

func (r *reader) Write([]byte) error {
	r.reads()
	return nil
}

func (*reader) End() {}

// TestTargetIsFreeWhileItsResponseIsRead sends a request while the caller of another
// one reads its response: the target of that one has ended it and carries no load.
func TestTargetIsFreeWhileItsResponseIsRead(t *testing.T) {
	f := new(twoTargets)
	r := sentRequest(&routing.Route{Kind: routing.Unsafe, Attempts: 1}, f)
	resp, err := f.Send(t.Context(), &TargetRequest{Target: r.cur.choice.Target})
	must.NoError(t, err)
	r.cur.resp = resp
	var next balance.Choice
	r.reply = &reader{reads: func() { next, _, _ = r.s.chooseTarget(time.Now(), r.service, &balance.Request{}, targetRule{}) }}
	timer := r.startSilenceTimer(t.Context(), r.cur)
	defer timer.stop()
	must.Eq(t, responseDone, r.forwardResponse(r.cur, timer))
	must.Eq(t, 0, next.Mean)
	must.Eq(t, r.cur.target(), next.Target.ID)
}
