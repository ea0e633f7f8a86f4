//go:build review2

package main

import (
	"bufio"
	"context"
	"fmt"
	"net/http"
	"strings"
	"sync"
	"time"
)

// stream is what a client got of a stream.
type stream struct {
	id       string
	status   int
	events   int
	versions map[string]bool
	whole    bool
}

// readStream sends a request and reads its events.
func readStream(client *http.Client, q *request, address string) *stream {
	out := &stream{id: q.ID, versions: make(map[string]bool)}
	resp, err := client.Do(q.build(context.Background(), address))
	if err != nil {
		return out
	}
	defer resp.Body.Close()
	out.status = resp.StatusCode
	if resp.StatusCode != http.StatusOK {
		return out
	}
	lines := bufio.NewScanner(resp.Body)
	for lines.Scan() {
		if v, ok := strings.CutPrefix(lines.Text(), "data: "); ok {
			out.events++
			out.versions[v] = true
		}
	}
	out.whole = lines.Err() == nil
	return out
}

// Figures of the case.
const (
	orderRouters = 4
	orderEvents  = 20
	orderGap     = 100 * time.Millisecond
	orderStreams = 40
	orderRounds  = 3
	orderPace    = 5 * time.Millisecond
	orderDown    = 700 * time.Millisecond
	orderCalm    = 2 * time.Second
)

// playOrder lets a worker go down and up under its ID, with other software the first time, while
// streams begin.
func playOrder(s *site, trouble bool) (int, error) {
	s.publish([]route{{
		Name: "r-blurb", Host: host, PathPrefix: "/blurb/", Kind: "stream", Service: "copydesk", TimeoutMs: 10000, TargetLatencyMs: 400,
		Attempts: 2, Sticky: true, Resumable: true, GapAimMs: 400,
	}}, []map[string]any{{
		"Name": "copydesk", "HealthPath": "/health", "MaxConns": 370, "Protocol": "h1", "ColdS": 3.0, "ColdPerS": 10.0,
		"Engine": map[string]any{"Slots": 64, "KvCapacity": 447171, "Models": []any{map[string]any{"Name": "m"}}},
	}})
	for i := range 4 {
		w := &worker{id: fmt.Sprintf("i-%d", i+1), service: "copydesk", zone: zones[i%len(zones)], slots: 64, queue: 192, events: orderEvents, gap: orderGap, cold: 3 * time.Second, version: "1"}
		if err := s.addWorker(w); err != nil {
			return failed, err
		}
	}
	if err := s.addRouters(orderRouters); err != nil {
		return failed, err
	}
	time.Sleep(5 * time.Second)
	client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 100}}
	var streams []*stream
	for round := range orderRounds {
		got, err := s.orderRound(client, round, trouble)
		if err != nil {
			return failed, err
		}
		streams = append(streams, got...)
	}
	joined, whole := 0, 0
	for _, one := range streams {
		if len(one.versions) > 1 {
			joined++
		}
		if one.whole && one.events == orderEvents {
			whole++
		}
	}
	s.record.printf("%d streams hold events of two software versions, %d are whole", joined, whole)
	fmt.Printf("ORDER: %d streams hold events of two software versions (more than 2 break the rule); %d of %d whole\n", joined, whole, len(streams))
	if joined > 2 {
		return broken, nil
	}
	return held, nil
}

// orderRound lets one worker go down, come back with other software, and go down once more while
// it serves streams.
func (s *site) orderRound(client *http.Client, round int, trouble bool) ([]*stream, error) {
	flapping := s.workers[round]
	if trouble {
		flapping.crash()
		time.Sleep(orderDown)
		if err := flapping.startAs("2"); err != nil {
			return nil, err
		}
	}
	var wg sync.WaitGroup
	streams := make([]*stream, orderStreams)
	for i := range streams {
		wg.Add(1)
		go func() {
			defer wg.Done()
			serial := round*orderStreams + i
			q := &request{ID: fmt.Sprintf("a%03d", serial), Path: "/blurb/1", Deadline: 10 * time.Second, Prompt: fmt.Sprintf("%x:800,%x:250", serial, 1000+serial), Body: []byte("{}")}
			streams[i] = readStream(client, q, s.routers[i%len(s.routers)].front)
			s.record.printf("client got of %s: status %d, %d events of versions %v, whole %t", q.ID, streams[i].status, streams[i].events, keysOf(streams[i].versions), streams[i].whole)
		}()
		time.Sleep(orderPace)
	}
	if trouble {
		time.Sleep(orderDown)
		flapping.crash()
		time.Sleep(orderDown)
		if err := flapping.startAs("2"); err != nil {
			return nil, err
		}
	}
	wg.Wait()
	time.Sleep(orderCalm)
	return streams, nil
}

func keysOf(m map[string]bool) []string {
	var out []string
	for k := range m {
		out = append(out, k)
	}
	return out
}
