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

// atOnce is the number of clients that send the request to a router at the same time.
const atOnce = 4

// killTogether kills routers at once and starts them again.
func (b *bed) killTogether(group []*router) error {
	b.record.line("%d of %d routers are killed at once", len(group), len(b.routers))
	var killed sync.WaitGroup
	for _, r := range group {
		killed.Add(1)
		go func() { defer killed.Done(); b.kill(r) }()
	}
	killed.Wait()
	time.Sleep(500 * time.Millisecond)
	for _, r := range group {
		if err := b.start(r); err != nil {
			return err
		}
	}
	return nil
}

// herdKill kills four or five of nine routers at once after a request that crashes workers
// was quarantined. It comes again once the routers are in touch. If the rule holds, it does
// so with other routers, four times at most: which of them fail to learn of the quarantine
// follows from a hash of their addresses, which are drawn for each run.
func herdKill(b *bed, trouble bool) (bool, error) {
	b.publish([]route{{Name: "order", Kind: "unsafe", Service: "plain", TimeoutMs: 1500, AimMs: 150, Attempts: 1}}, nil, []string{"plain"})
	for i := range 3 {
		w := &worker{id: fmt.Sprintf("p%d", i+1), service: "plain", slots: 6, version: "v1", work: 30 * time.Millisecond}
		w.deadly = func(_ *http.Request, body string) bool { return body == deadly }
		w.onDeadly = crashAndRestart
		if err := b.addWorker(w); err != nil {
			return false, err
		}
	}
	if err := b.addRouters(9); err != nil {
		return false, err
	}
	if err := b.awaitReady(readyTime); err != nil {
		return false, err
	}
	time.Sleep(touch + time.Second)
	stopSound := b.sound()
	defer stopSound()
	time.Sleep(time.Second)
	for i := range 12 {
		go b.plain(context.Background(), b.routers[i%9].front, "/order/1", deadly, 1500*time.Millisecond)
		time.Sleep(400 * time.Millisecond)
	}
	bound, ok := b.crashBound(3)
	if !ok {
		return false, errors.New("the request has crashed less than three workers")
	}
	time.Sleep(5 * time.Second)
	r := b.routers
	groups := [][]*router{r[:4], r[4:], {r[0], r[2], r[4], r[6], r[8]}, {r[1], r[3], r[5], r[7]}}
	for _, group := range groups {
		if b.late(bound) > 3 {
			break
		}
		if trouble {
			if err := b.killTogether(group); err != nil {
				return false, err
			}
		}
		if err := b.awaitReady(readyTime); err != nil {
			return false, err
		}
		time.Sleep(2 * touch) // all routers are in touch again
		for range 3 {
			for _, r := range b.routers {
				for range atOnce {
					go b.plain(context.Background(), r.front, "/order/1", deadly, 1500*time.Millisecond)
				}
			}
			time.Sleep(700 * time.Millisecond)
		}
		time.Sleep(2 * time.Second)
		b.record.line("the request reached workers %d times later than %s after the third crash so far", b.late(bound), touch)
	}
	late := b.late(bound)
	b.record.line("the request reached workers %d times later than %s after the third crash", late, touch)
	fmt.Printf("the request reached workers %d times later than %s after the third crash; more than three break the rule\n", late, touch)
	return late > 3, nil
}
