//go:build review

package main

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"sync"
	"time"
)

const deadly = "the request that crashes workers"

// lostQuarantine sends a request that crashes each worker that begins to run it, during an
// outage of the store. It comes again after all routers were killed at once, long after
// the store is back.
func lostQuarantine(b *bed, trouble bool) (bool, error) {
	b.publish([]route{{Name: "order", Kind: "unsafe", Service: "plain", TimeoutMs: 1500, AimMs: 150, Attempts: 1}}, nil, []string{"plain"})
	for i := range 3 {
		w := &worker{id: fmt.Sprintf("p%d", i+1), service: "plain", slots: 6, version: "v1", work: 30 * time.Millisecond}
		w.deadly = func(_ *http.Request, body string) bool { return body == deadly }
		w.onDeadly = crashAndRestart
		if err := b.addWorker(w); err != nil {
			return false, err
		}
	}
	if err := b.addRouters(4); err != nil {
		return false, err
	}
	if err := b.awaitReady(readyTime); err != nil {
		return false, err
	}
	time.Sleep(touch + time.Second)
	stopSound := b.sound()
	defer stopSound()
	time.Sleep(time.Second)

	if trouble {
		b.setStore(storeResets)
	}
	outageBegan := time.Now()
	for i := 0; time.Since(outageBegan) < 5*time.Second; i++ {
		go b.plain(context.Background(), b.routers[i%len(b.routers)].front, "/order/1", deadly, 1500*time.Millisecond)
		time.Sleep(400 * time.Millisecond)
	}
	time.Sleep(time.Until(outageBegan.Add(6 * time.Second)))
	if trouble {
		b.setStore(storeUp)
	}
	bound, ok := b.crashBound(3)
	if !ok {
		return false, errors.New("the request has crashed less than three workers")
	}
	runs := b.deadlyRuns()
	time.Sleep(5 * time.Second)
	b.record.line("the request has run %d times so far, %d times later than %s after the third crash", len(runs), b.late(bound), touch)

	if err := b.killTogether(b.routers); err != nil {
		return false, err
	}
	if err := b.awaitReady(readyTime); err != nil {
		return false, err
	}
	time.Sleep(2 * touch) // the routers are in touch again
	for range 10 {
		for _, r := range b.routers {
			go b.plain(context.Background(), r.front, "/order/1", deadly, 1500*time.Millisecond)
		}
		time.Sleep(700 * time.Millisecond)
	}
	time.Sleep(2 * time.Second)
	late := b.late(bound)
	b.record.line("the request reached workers %d times later than %s after the third crash", late, touch)
	fmt.Printf("the request reached workers %d times later than %s after the third crash; more than three break the rule\n", late, touch)
	return late > 3, nil
}

// workerRestart is the time after which a worker is back that a request has crashed.
const workerRestart = 1500 * time.Millisecond

// crashAndRestart crashes a worker, which is back later under its Id.
func crashAndRestart(w *worker) {
	if !w.crash() {
		return
	}
	w.bed.mu.Lock()
	w.bed.crashes = append(w.bed.crashes, time.Now())
	w.bed.mu.Unlock()
	time.Sleep(workerRestart)
	if err := w.start(w.version); err != nil {
		w.bed.record.line("worker %s cannot start: %v", w.id, err)
	}
}

// crashBound returns the time that is touch after a crash by a deadly request, counted
// from one, and false if there were less.
func (b *bed) crashBound(number int) (time.Time, bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if len(b.crashes) < number {
		return time.Time{}, false
	}
	return b.crashes[number-1].Add(touch), true
}

// sound sends sound requests until the returned function is called.
func (b *bed) sound() (stop func()) {
	ctx, cancel := context.WithCancel(context.Background())
	var done sync.WaitGroup
	for i := range b.routers {
		done.Add(1)
		go func() {
			defer done.Done()
			for n := 0; ctx.Err() == nil; n++ {
				b.plain(ctx, b.routers[i].front, "/order/1", fmt.Sprintf("sound order %d of client %d", n, i), 1500*time.Millisecond)
				time.Sleep(250 * time.Millisecond)
			}
		}()
	}
	return func() { cancel(); done.Wait() }
}

// deadlyRuns returns the runs of the deadly request in their order.
func (b *bed) deadlyRuns() []run {
	var out []run
	for _, w := range b.workers {
		for _, one := range w.allRuns() {
			if one.deadly {
				out = append(out, one)
			}
		}
	}
	sortRuns(out)
	return out
}

// late returns how often the deadly request reached workers after a time.
func (b *bed) late(bound time.Time) int {
	n := 0
	for _, one := range b.deadlyRuns() {
		if one.at.After(bound) {
			n++
		}
	}
	return n
}
