//go:build review2

package main

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"sync"
	"time"
)

// Figures of the case.
const (
	drainOrders = 18
	drainBytes  = goneBytes
	drainWork   = 3500 * time.Millisecond
	// drainAfter is the time from the orders to the report of the worker that leaves.
	drainAfter = 500 * time.Millisecond
	// drainExit is the time from that report to the end of the worker: DrainMs and a little longer.
	drainExit = 3500 * time.Millisecond
	// drainBound is DrainMs of the deployment.
	drainBound = 2 * time.Second
)

// playDrain takes one worker away while large orders run.
func playDrain(s *site, trouble bool) (int, error) {
	s.publish([]route{{
		Name: "r-order", Host: host, PathPrefix: "/order/", Kind: "unsafe", Service: "printq", TimeoutMs: 12000, TargetLatencyMs: 5000,
		Priority: 2, Attempts: 1,
	}}, []map[string]any{{
		"Name": "printq", "HealthPath": "/health", "MaxConns": 110, "Protocol": "h1", "ColdS": 0.0, "ColdPerS": 0.0,
	}})
	for i, zone := range zones {
		w := &worker{id: fmt.Sprintf("i-%d", i+1), service: "printq", zone: zone, slots: 6, queue: 24, work: drainWork, version: "1"}
		if err := s.addWorker(w); err != nil {
			return failed, err
		}
	}
	if err := s.addRouters(3); err != nil {
		return failed, err
	}
	time.Sleep(4 * time.Second)
	client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 100}}
	var (
		wg       sync.WaitGroup
		mu       sync.Mutex
		answered int
	)
	for serial := range drainOrders {
		wg.Add(1)
		go func() {
			defer wg.Done()
			q := &request{ID: fmt.Sprintf("o%03d", serial), Path: "/order/1", Deadline: 12 * time.Second, Body: body(serial)}
			s.record.printf("client sends %s to %s", q.ID, s.routers[0].name)
			resp, err := client.Do(q.build(context.Background(), s.routers[0].front))
			if err != nil {
				s.record.printf("client of %s gets no answer: %v", q.ID, err)
				return
			}
			defer resp.Body.Close()
			_, _ = io.Copy(io.Discard, resp.Body)
			s.record.printf("client of %s gets %d", q.ID, resp.StatusCode)
			mu.Lock()
			defer mu.Unlock()
			if resp.StatusCode == http.StatusOK {
				answered++
			}
		}()
	}
	time.Sleep(drainAfter)
	leaving := s.workers[2]
	at := time.Now()
	if trouble {
		leaving.leave()
		at = time.Now()
		time.Sleep(drainExit)
		s.record.printf("worker %s exits", leaving.id)
		leaving.stop()
	}
	wg.Wait()
	late := 0
	for _, a := range leaving.arrivals() {
		if after := a.At.Sub(at); trouble && after > drainBound {
			late++
			s.record.printf("%s reached worker %s %d ms after the store had accepted that it is draining", a.ID, leaving.id, after.Milliseconds())
		}
	}
	s.record.printf("%d orders reached the leaving worker later than %v, %d of %d answered", late, drainBound, answered, drainOrders)
	fmt.Printf("DRAIN: %d orders reached the leaving worker later than %v after the acknowledgement (any breaks the rule); %d of %d answered\n",
		late, drainBound, answered, drainOrders)
	if late > 0 {
		return broken, nil
	}
	return held, nil
}
