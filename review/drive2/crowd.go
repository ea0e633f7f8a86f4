//go:build review2

package main

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

// Figures of the case.
const (
	crowdConns = 4200
	// crowdSpare is the number of descriptors that this process needs besides.
	crowdSpare = 300
	// crowdAgain is the time after which a client of the crowd asks again.
	crowdAgain = 4 * time.Second
	// crowdTime is the time for which callers try, crowdCallers their number.
	crowdTime    = 14 * time.Second
	crowdCallers = 8
	// crowdPatience is the time that callers allow a new connection.
	crowdPatience = time.Second
	// crowdStable is StableWindowMs of the deployment.
	crowdStable = 3 * time.Second
)

// crowdClient is a client of the crowd, which sends its question with a small body in chunks.
type crowdClient struct {
	conn net.Conn
	in   *bufio.Reader
}

// ask sends a question and reads the answer.
func (c *crowdClient) ask() error {
	_ = c.conn.SetDeadline(time.Now().Add(2 * time.Second))
	text := "GET /-/resolve?Name=" + host + "&Region=" + region + "&Zone=pos HTTP/1.1\r\nHost: directory\r\nTransfer-Encoding: chunked\r\n\r\n"
	for range 4 {
		text += "1\r\nx\r\n"
	}
	if _, err := io.WriteString(c.conn, text+"0\r\n\r\n"); err != nil {
		return err
	}
	resp, err := http.ReadResponse(c.in, nil)
	if err != nil {
		return err
	}
	_, err = io.Copy(io.Discard, resp.Body)
	return err
}

// playCrowd lets a crowd of clients ask the directory of one router and keep their connections.
func playCrowd(s *site, trouble bool) (int, error) {
	var own syscall.Rlimit
	if err := syscall.Getrlimit(syscall.RLIMIT_NOFILE, &own); err != nil || own.Cur < crowdConns+crowdSpare {
		return failed, fmt.Errorf("this process may open %d descriptors, %v", own.Cur, err)
	}
	s.publish([]route{
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
	ready := &http.Client{Timeout: time.Second} // the platform keeps its connection
	if !s.saysReady(ready, crowded) {
		return failed, fmt.Errorf("%s is not ready", crowded.name)
	}
	ctx, stop := context.WithCancel(context.Background())
	var wg sync.WaitGroup
	if trouble {
		s.gather(ctx, &wg, crowded)
	}
	served := make([]atomic.Int64, int(crowdTime/time.Second))
	tried := make([]atomic.Int64, len(served))
	said := make([]bool, len(served))
	began := time.Now()
	for second := range served {
		time.Sleep(time.Until(began.Add(time.Duration(second) * time.Second)))
		for n := range crowdCallers {
			wg.Add(1)
			go func() {
				defer wg.Done()
				tried[second].Add(1)
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
	files, _ := os.ReadDir(fmt.Sprintf("/proc/%d/fd", crowded.cmd.Process.Pid))
	s.record.printf("%s has %d descriptors", crowded.name, len(files))
	time.Sleep(crowdPatience)
	stop()
	wg.Wait()
	longest, run, answered := 0, 0, int64(0)
	for second := range served {
		answered += served[second].Load()
		s.record.printf("second %d: %d of %d callers on new connections answered, says it is ready: %t", second, served[second].Load(), tried[second].Load(), said[second])
		if run++; served[second].Load() > 0 || !said[second] {
			run = 0
		}
		longest = max(longest, run)
	}
	fmt.Printf("RECOVER: for %d s in a row the router said that it was ready and answered none of %d callers a second on new connections (more than %v break the rule); %d of %d answered\n",
		longest, crowdCallers, crowdStable, answered, crowdCallers*len(served))
	if time.Duration(longest)*time.Second > crowdStable {
		return broken, nil
	}
	return held, nil
}

// gather opens the connections of the crowd, each of which asks again and again.
func (s *site) gather(ctx context.Context, wg *sync.WaitGroup, r *router) {
	opened := 0
	for range crowdConns {
		conn, err := net.DialTimeout("tcp", r.directory, time.Second)
		if err != nil {
			s.record.printf("the crowd can't connect: %v", err)
			break
		}
		c := &crowdClient{conn: conn, in: bufio.NewReaderSize(conn, 512)}
		if err := c.ask(); err != nil {
			s.record.printf("the crowd gets no answer any more: %v", err)
			_ = conn.Close()
			break
		}
		opened++
		wg.Add(1)
		go func() {
			defer wg.Done()
			defer conn.Close()
			for {
				select {
				case <-ctx.Done():
					return
				case <-time.After(crowdAgain):
				}
				if c.ask() != nil {
					return
				}
			}
		}()
	}
	s.record.printf("the crowd keeps %d connections to the directory of %s", opened, r.name)
}

// saysReady asks a router whether it is ready.
func (s *site) saysReady(client *http.Client, r *router) bool {
	resp, err := client.Get("http://" + r.ready + "/-/ready")
	if err != nil {
		return false
	}
	_, _ = io.Copy(io.Discard, resp.Body)
	_ = resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}
