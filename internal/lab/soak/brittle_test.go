package soak

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/zinniafork/zinniafork/internal/standin/workerd"
)

// TestCheckerFindsFallsOfBrittleWorkers lets a worker fall over more often than it may, and
// checks what excuses that.
func TestCheckerFindsFallsOfBrittleWorkers(t *testing.T) {
	w := &worker{Server: workerd.New(workerd.Options{ID: "w"})}
	begin := time.Now().Add(-10 * time.Second)
	one := &brittleTime{workers: []*worker{w}, from: begin, to: time.Now().Add(time.Minute)}
	must.SliceEmpty(t, checkBrittle([]*brittleTime{one}, nil))
	w.SetBrittle(0)
	for range 3 {
		w.FallOver()
	}
	must.Len(t, 1, checkBrittle([]*brittleTime{one}, nil), must.Sprint("three falls of one worker"))
	paused := new(spans)
	paused.begin()
	must.SliceEmpty(t, checkBrittle([]*brittleTime{one}, map[int]*spans{0: paused}), must.Sprint("a router was paused"))
	late := &brittleTime{workers: []*worker{w}, from: time.Now(), to: time.Now().Add(time.Minute)}
	must.SliceEmpty(t, checkBrittle([]*brittleTime{late}, nil), must.Sprint("it had not said so for long"))
}
