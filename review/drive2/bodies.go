//go:build review2

package main

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

// Figures of the case.
const (
	bodiesConns   = 3000
	bodiesTime    = 14 * time.Second
	bodiesSettle  = 3 * time.Second
	bodiesCallers = 8
)

// playBodies lets a crowd of clients send bodies in very small chunks, which stop just short of
// their end, and stay.
func playBodies(s *site, trouble bool) (int, error) {
	var own syscall.Rlimit
	if err := syscall.Getrlimit(syscall.RLIMIT_NOFILE, &own); err != nil || own.Cur < bodiesConns+crowdSpare {
		return failed, fmt.Errorf("this process may open %d descriptors, %v", own.Cur, err)
	}
	s.publish([]route{
		{Name: "r-order", Host: host, PathPrefix: "/order/", Kind: "unsafe", Service: "printq", TimeoutMs: 1000, TargetLatencyMs: 150, Priority: 2, Attempts: 1},
		{Name: "r-status", Host: host, PathPrefix: "/status/", Kind: "safe", Service: "printq", TimeoutMs: 1000, TargetLatencyMs: 150, Priority: 2, Attempts: 2},
	}, []map[string]any{{
		"Name": "printq", "HealthPath": "/health", "MaxConns": 110, "Protocol": "h1", "ColdS": 0.0, "ColdPerS": 0.0,
	}})
	for i, zone := range zones {
		w := &worker{id: fmt.Sprintf("i-%d", i+1), service: "printq", zone: zone, slots: 6, queue: 24, work: 30 * time.Millisecond, version: "1"}
		if err := s.addWorker(w); err != nil {
			return failed, err
		}
	}
	if err := s.addRouters(3); err != nil {
		return failed, err
	}
	time.Sleep(3 * time.Second)
	crowded := s.routers[0]
	ready := &http.Client{Timeout: time.Second}
	ctx, stop := context.WithCancel(context.Background())
	var wg sync.WaitGroup
	var open, serial atomic.Int64
	if trouble {
		for range bodiesConns {
			wg.Add(1)
			go func() {
				defer wg.Done()
				for ctx.Err() == nil {
					s.stopShort(ctx, crowded, &open, serial.Add(1))
					time.Sleep(100 * time.Millisecond)
				}
			}()
		}
		time.Sleep(bodiesSettle)
		s.record.printf("the crowd has %d connections to %s", open.Load(), crowded.name)
	}
	seconds := int(bodiesTime / time.Second)
	served, said := make([]atomic.Int64, seconds), make([]bool, seconds)
	began := time.Now()
	for second := range served {
		time.Sleep(time.Until(began.Add(time.Duration(second) * time.Second)))
		for n := range bodiesCallers {
			wg.Add(1)
			go func() {
				defer wg.Done()
				q := &request{ID: fmt.Sprintf("s%02d%d", second, n), Path: "/status/1", Method: http.MethodGet, Deadline: time.Second}
				caller := &http.Client{Timeout: crowdPatience, Transport: &http.Transport{DisableKeepAlives: true}}
				resp, err := caller.Do(q.build(context.Background(), crowded.front))
				if err != nil {
					s.record.printf("caller of %s: %v", q.ID, err)
					return
				}
				_, _ = io.Copy(io.Discard, resp.Body)
				_ = resp.Body.Close()
				s.record.printf("caller of %s gets %d", q.ID, resp.StatusCode)
				served[second].Add(1)
			}()
		}
		said[second] = s.saysReady(ready, crowded)
	}
	time.Sleep(crowdPatience)
	stop()
	wg.Wait()
	longest, run, answered := 0, 0, int64(0)
	for second := range served {
		answered += served[second].Load()
		s.record.printf("second %d: %d of %d callers on new connections answered, says it is ready: %t", second, served[second].Load(), bodiesCallers, said[second])
		if run++; served[second].Load() > 0 || !said[second] {
			run = 0
		}
		longest = max(longest, run)
	}
	fmt.Printf("RECOVER: for %d s in a row the router said that it was ready and answered none of %d callers a second on new connections (more than %v break the rule); %d of %d answered\n",
		longest, bodiesCallers, crowdStable, answered, bodiesCallers*seconds)
	if time.Duration(longest)*time.Second > crowdStable {
		return broken, nil
	}
	return held, nil
}

// crowdAddress is the address that the crowd comes from.
const crowdAddress = "127.200.1.1"

// stopShort sends an order whose body stops just short of its end, and stays until the router
// closes the connection.
func (s *site) stopShort(ctx context.Context, r *router, open *atomic.Int64, serial int64) {
	dialer := net.Dialer{Timeout: 2 * time.Second, LocalAddr: &net.TCPAddr{IP: net.ParseIP(crowdAddress)}}
	conn, err := dialer.DialContext(ctx, "tcp", r.front)
	if err != nil {
		return
	}
	defer conn.Close()
	stop := context.AfterFunc(ctx, func() { _ = conn.Close() })
	defer stop()
	open.Add(1)
	defer open.Add(-1)
	text := fmt.Sprintf("POST /order/1 HTTP/1.1\r\nHost: %s\r\nX-Request-Id: c%d\r\nX-Deadline-Ms: 1000\r\nAuthorization: Bearer %s\r\nTransfer-Encoding: chunked\r\n\r\n", host, serial, key)
	if _, err := io.WriteString(conn, text+"1\r\nx\r\n1\r\nx\r\n1\r\nx\r\n"); err != nil {
		return
	}
	_, _ = io.Copy(io.Discard, conn) // until the router closes
}
