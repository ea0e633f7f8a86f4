//go:build review

package main

import (
	"context"
	"fmt"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync"
	"time"
)

const (
	// deadlyPartID is the part of a prompt that crashes engines.
	deadlyPartID = "dead0001"
	deadlyTime   = 25 * time.Second
	deadlyPeriod = 500 * time.Millisecond
)

// turns is the number of parts that follow the first one in a long chat, besides the
// chat's own last part: 18 unless TURNS says otherwise.
var turns = func() int {
	n, err := strconv.Atoi(os.Getenv("TURNS"))
	if err != nil {
		return 18
	}
	return n
}()

// chatParts returns the parts of a chat of many turns. No two chats share a turn.
func chatParts(first string, chat int) string {
	parts := []string{first + ":800"}
	for t := range turns {
		parts = append(parts, fmt.Sprintf("%08x:60", 0xc0000000+chat*64+t))
	}
	return strings.Join(append(parts, fmt.Sprintf("%08x:40", 0xe0000000+chat)), ",")
}

// deadlyPart sends chats of many turns whose first part crashes each engine that begins to
// write an answer on it. No two of them are alike.
func deadlyPart(b *bed, trouble bool) (bool, error) {
	b.publish([]route{
		{Name: "chat", Kind: "stream", Service: "llm", TimeoutMs: 12000, AimMs: 400, GapAimMs: 250, Attempts: 1},
	}, []string{"llm"}, nil)
	if err := b.addDeadlyEngines(trouble); err != nil {
		return false, err
	}
	stopSound, err := b.soundChats()
	if err != nil {
		return false, err
	}
	began := time.Now()
	for i := 0; time.Since(began) < deadlyTime; i++ {
		go b.streamOn(b.routers[i%len(b.routers)].front, "/chat/1", chatParts(deadlyPartID, i), fmt.Sprint(i), "", 0, 5, streamDeadline)
		time.Sleep(deadlyPeriod)
	}
	stopSound()
	return b.judgeDeadly(5)
}

// addDeadlyEngines adds four engines, which the deadly part crashes if it is to.
func (b *bed) addDeadlyEngines(isDeadly bool) error {
	for i := range 4 {
		w := &worker{id: fmt.Sprintf("w%d", i+1), service: "llm", engine: true, slots: 64, events: 5, gap: 20 * time.Millisecond, version: "v1"}
		w.deadly = func(r *http.Request, _ string) bool {
			return isDeadly && strings.Contains(r.Header.Get("X-Prompt-Prefix"), deadlyPartID+":")
		}
		w.onDeadly = crashAndRestart
		if err := b.addWorker(w); err != nil {
			return err
		}
	}
	return nil
}

// soundChats starts four routers and sends sound chats to them until stop is called.
func (b *bed) soundChats() (stop func(), err error) {
	if err := b.addRouters(4); err != nil {
		return nil, err
	}
	if err := b.awaitReady(readyTime); err != nil {
		return nil, err
	}
	time.Sleep(touch + time.Second)
	ctx, cancel := context.WithCancel(context.Background())
	var done sync.WaitGroup
	for i := range b.routers {
		done.Add(1)
		go func() {
			defer done.Done()
			for n := 0; ctx.Err() == nil; n++ {
				chat := 100000 + i*10000 + n
				b.streamOn(b.routers[i].front, "/chat/1", chatParts("5c1e07a2", chat), fmt.Sprint(chat), "", 0, 5, streamDeadline)
				time.Sleep(150 * time.Millisecond)
			}
		}()
	}
	return func() { cancel(); done.Wait() }, nil
}

// judgeDeadly counts the deadly requests that reached workers later than touch after a
// crash.
func (b *bed) judgeDeadly(crash int) (bool, error) {
	runs := b.deadlyRuns()
	late := 0
	if bound, ok := b.crashBound(crash); ok {
		late = b.late(bound)
	}
	b.record.line("deadly requests reached workers %d times, %d times later than %s after crash %d", len(runs), late, touch, crash)
	fmt.Printf("deadly requests reached workers %d times, %d times later than %s after crash %d; more than three break the rule\n", len(runs), late, touch, crash)
	return late > 3, nil
}

// deadlyQuery sends a request that crashes each worker that begins to run it, again and
// again with the same path, caller and body. Its query tells the client's tries apart.
func deadlyQuery(b *bed, trouble bool) (bool, error) {
	b.publish([]route{{Name: "order", Kind: "unsafe", Service: "plain", TimeoutMs: 1500, AimMs: 150, Attempts: 1}}, nil, []string{"plain"})
	for i := range 4 {
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
	began := time.Now()
	for i := 0; time.Since(began) < deadlyTime; i++ {
		path := "/order/1"
		if trouble {
			path += fmt.Sprintf("?try=%d", i)
		}
		go b.plain(context.Background(), b.routers[i%len(b.routers)].front, path, deadly, 1500*time.Millisecond)
		time.Sleep(deadlyPeriod)
	}
	stopSound()
	return b.judgeDeadly(3)
}

const (
	// bursts is the number of times that burstClients clients at each router send the
	// deadly part at once, burstPeriod apart.
	bursts       = 6
	burstClients = 2
	burstPeriod  = 4 * time.Second
)

// deadlyBursts sends short chats whose first part crashes each engine that begins to write
// an answer on it. No two of them are alike. They come several at a time.
func deadlyBursts(b *bed, trouble bool) (bool, error) {
	b.publish([]route{
		{Name: "chat", Kind: "stream", Service: "llm", TimeoutMs: 12000, AimMs: 400, GapAimMs: 250, Attempts: 1},
	}, []string{"llm"}, nil)
	if err := b.addDeadlyEngines(trouble); err != nil {
		return false, err
	}
	stop, err := b.soundChats()
	if err != nil {
		return false, err
	}
	chat := 0
	for range bursts {
		for _, r := range b.routers {
			for range burstClients {
				parts := fmt.Sprintf("%s:800,%08x:400,%08x:40", deadlyPartID, 0xc0000000+chat, 0xe0000000+chat)
				go b.streamOn(r.front, "/chat/1", parts, fmt.Sprint(chat), "", 0, 5, streamDeadline)
				chat++
			}
		}
		time.Sleep(burstPeriod)
	}
	stop()
	return b.judgeDeadly(5)
}
