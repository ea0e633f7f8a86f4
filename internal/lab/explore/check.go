package explore

import (
	"fmt"
	"slices"

	"github.com/zinniafork/zinniafork/internal/core/orders"
)

// fail notes the first rule that the world broke.
func (w *world) fail(format string, args ...any) {
	if w.violation == nil {
		w.violation = fmt.Errorf(format, args...)
	}
}

// checkDispatch requires that no answered submission leads to a dispatch
// after it was told that it had not run.
func (w *world) checkDispatch(d orders.Dispatch) {
	a := &w.attempts[d.ID]
	if a.answered && a.run == orders.RunNot {
		w.fail("submission %d was answered not_run and was dispatched later", d.ID)
	}
}

// checkAnswer requires that an answer is true.
func (w *world) checkAnswer(in orders.SendReply) {
	a := &w.attempts[in.ID]
	o := &w.orders[a.key]
	if a.answered {
		w.fail("submission %d was answered twice", in.ID)
	}
	a.answered = true
	a.run = in.Reply.Run
	switch in.Reply.Run {
	case orders.RunNot:
		w.checkNotRun(in, a, o)
	case orders.RunDone:
		w.checkDone(in, o)
	}
}

// checkNotRun requires that the order had not been sent when the submission
// arrived, and that the submission itself is not being sent.
func (w *world) checkNotRun(in orders.SendReply, a *attempt, o *order) {
	if w.opt.TwoOwners {
		return
	}
	for _, n := range a.sent {
		if slices.Contains(o.live, n) {
			w.fail("submission %d was answered not_run, but order %d had been sent before", in.ID, a.key)
		}
	}
	for i := range w.routers {
		for _, d := range w.routers[i].dispatches {
			if d.ID == in.ID {
				w.fail("submission %d was answered not_run while it is being sent", in.ID)
			}
		}
	}
}

// checkDone requires that the answer is the one of the run.
func (w *world) checkDone(in orders.SendReply, o *order) {
	if o.executed == 0 {
		w.fail("submission %d was answered ran, but its order has not run", in.ID)
	}
	body := string(in.Reply.Outcome.Body)
	if in.Reply.BodyInLog {
		body = w.recordedBody(in.Reply.Offset)
	}
	if body != o.output {
		w.fail("submission %d got the answer %q in place of %q", in.ID, body, o.output)
	}
}

// recordedBody reads an answer from the log.
func (w *world) recordedBody(offset uint64) string {
	if out := w.log[offset].Record.Outcome; out != nil {
		return string(out.Body)
	}
	return ""
}

// execute runs an order on a target.
func (w *world) execute(d orders.Dispatch) orders.Outcome {
	o := &w.orders[w.find(d.Key)]
	o.executed++
	if o.executed > 1 {
		w.fail("order %s ran %d times", d.Key, o.executed)
	}
	o.output = fmt.Sprintf("%d/%d", d.Nonce.Process, d.Nonce.Seq)
	return orders.Outcome{Run: orders.RunDone, Status: 200, Body: []byte(o.output)}
}

// checkHealed requires that, after all faults have ended, every submission is
// answered and every order that a live router knows to have run is recorded.
func (w *world) checkHealed() {
	for id, a := range w.attempts {
		if !a.answered {
			w.fail("submission %d has no answer after all faults have ended", id)
		}
	}
	for i := range w.routers {
		if n := w.routers[i].machine.BacklogSize(); n > 0 {
			w.fail("router %d still holds %d records after all faults have ended: %+v", i, n, w.routers[i].machine.Backlog())
		}
	}
}
