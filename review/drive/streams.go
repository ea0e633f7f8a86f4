//go:build review

package main

import (
	"fmt"
	"maps"
	"os"
	"sync"
	"time"
)

const (
	streamEvents   = 60
	streamGap      = 120 * time.Millisecond
	streamDeadline = 12 * time.Second
)

// startStreams starts the store, engines of one software version and routers.
func startStreams(b *bed, routers, engines int) error {
	b.publish([]route{
		{Name: "chat", Kind: "stream", Service: "llm", TimeoutMs: 12000, AimMs: 400, GapAimMs: 250, Attempts: 2, Resumable: true},
	}, []string{"llm"}, nil)
	for i := range engines {
		if err := b.addWorker(newEngine(fmt.Sprintf("w%d", i+1), "v1")); err != nil {
			return err
		}
	}
	if err := b.addRouters(routers); err != nil {
		return err
	}
	if err := b.awaitReady(readyTime); err != nil {
		return err
	}
	time.Sleep(touch + time.Second)
	return nil
}

func newEngine(id, version string) *worker {
	return &worker{id: id, service: "llm", engine: true, slots: 64, events: streamEvents, gap: streamGap, version: version}
}

// restartedVersion restarts engines one after the other under their Ids with other
// software, while the store is away. Streams that break off must go on at the version
// that began them.
func restartedVersion(b *bed, trouble bool) (bool, error) {
	if err := startStreams(b, 3, 4); err != nil {
		return false, err
	}
	const streams = 36
	answers := make([]*answer, streams)
	var done sync.WaitGroup
	for i := range streams {
		done.Add(1)
		go func() {
			defer done.Done()
			start, session := time.Now(), fmt.Sprintf("%08x", 0xa0000000+i)
			a := b.stream(b.routers[i%3].front, "/chat/1", session, "", 0, streamEvents, streamDeadline)
			if !a.whole && a.last > 0 { // one retry
				next := b.stream(b.routers[(i+1)%3].front, "/chat/1", session, a.id, a.last, streamEvents, streamDeadline-time.Since(start))
				maps.Copy(a.versions, next.versions)
			}
			answers[i] = a
		}()
		time.Sleep(20 * time.Millisecond)
	}
	if trouble {
		b.setStore(storeSilent)
	}
	for i := range 3 { // one engine of four, again and again
		w := b.workers[i]
		w.crash()
		time.Sleep(2 * time.Second)
		if err := w.start("v2"); err != nil {
			return false, err
		}
		pause, err := time.ParseDuration(os.Getenv("PAUSE"))
		if err != nil {
			pause = 300 * time.Millisecond
			if !trouble {
				pause += time.Second // the entry is known by then
			}
		}
		time.Sleep(pause)
	}
	if trouble {
		b.setStore(storeUp)
	}
	done.Wait()
	mixed := 0
	for _, a := range answers {
		if len(a.versions) > 1 {
			mixed++
		}
	}
	b.record.line("%d of %d streams hold events of two software versions", mixed, streams)
	fmt.Printf("%d of %d streams hold events of two software versions; more than two break the rule\n", mixed, streams)
	return mixed > 2, nil
}
