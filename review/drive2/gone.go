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
	goneRounds = 10
	// goneOrders is the number of orders at once, as many as the workers have slots for.
	goneOrders = 18
	goneBytes  = 3_500_000
	goneWork   = 1500 * time.Millisecond
	// Three in ten clients leave goneAfter after they have sent their order.
	goneAfter = 300 * time.Millisecond
	// goneSlack is the time within which a request may still reach a worker.
	goneSlack = 500 * time.Millisecond
	// goneFew is the number of requests that may reach a worker later.
	goneFew = 5
)

// playGone lets clients send large orders, of which some leave before they are answered.
func playGone(s *site, trouble bool) (int, error) {
	s.publish([]route{{
		Name: "r-order", Host: host, PathPrefix: "/order/", Kind: "unsafe", Service: "printq", TimeoutMs: 10000, TargetLatencyMs: 3000,
		Priority: 2, Attempts: 1,
	}}, []map[string]any{{
		"Name": "printq", "HealthPath": "/health", "MaxConns": 110, "Protocol": "h1", "ColdS": 0.0, "ColdPerS": 0.0,
	}})
	for i, zone := range zones {
		w := &worker{id: fmt.Sprintf("i-%d", i+1), service: "printq", zone: zone, slots: 6, queue: 24, work: goneWork, version: "1"}
		if err := s.addWorker(w); err != nil {
			return failed, err
		}
	}
	if err := s.addRouters(3); err != nil {
		return failed, err
	}
	time.Sleep(4 * time.Second)
	var mu sync.Mutex
	left := make(map[string]time.Time)
	answered := 0
	client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 100}}
	for round := range goneRounds {
		var wg sync.WaitGroup
		for i := range goneOrders {
			wg.Add(1)
			go func() {
				defer wg.Done()
				serial := round*goneOrders + i
				q := &request{ID: fmt.Sprintf("o%03d", serial), Path: "/order/1", Deadline: 10 * time.Second, Body: body(serial)}
				ctx, cancel := context.WithCancel(context.Background())
				defer cancel()
				if leaves := serial%10 < 3; leaves && trouble {
					stop := time.AfterFunc(goneAfter, func() {
						mu.Lock()
						left[q.ID] = time.Now()
						mu.Unlock()
						s.record.printf("client of %s closes its connection", q.ID)
						cancel()
					})
					defer stop.Stop()
				}
				s.record.printf("client sends %s to %s", q.ID, s.routers[0].name)
				resp, err := client.Do(q.build(ctx, s.routers[0].front))
				if err != nil {
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
		wg.Wait()
		time.Sleep(goneWork + goneSlack)
	}
	late := 0
	for _, w := range s.workers {
		for _, a := range w.arrivals() {
			if at, ok := left[a.ID]; ok && a.At.Sub(at) > goneSlack {
				late++
				s.record.printf("%s reached worker %s %d ms after its client had gone", a.ID, w.id, a.At.Sub(at).Milliseconds())
			}
		}
	}
	s.record.printf("%d clients left, %d orders reached a worker over %v later", len(left), late, goneSlack)
	fmt.Printf("GONE: %d of %d clients left; %d of their orders reached a worker over %v later (more than %d break the rule); %d answered\n",
		len(left), goneRounds*goneOrders, late, goneSlack, goneFew, answered)
	if late > goneFew {
		return broken, nil
	}
	return held, nil
}

// body is an order that differs from all others.
func body(serial int) []byte {
	out := make([]byte, goneBytes)
	for i := range out {
		out[i] = byte('a' + (i+serial)%26)
	}
	copy(out, fmt.Sprintf("order %d ", serial))
	return out
}
