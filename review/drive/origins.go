//go:build review

package main

import (
	"errors"
	"fmt"
	"io"
	"net"
	"os"
	"sync"
	"time"
)

// link carries connections to a router. When it goes dark it carries nothing more and
// closes nothing, as the link of a machine without power.
type link struct {
	address string
	to      string

	mu   sync.Mutex
	dark chan struct{}
}

func newLink(b *bed, to string) (*link, error) {
	ln, err := net.Listen("tcp", b.ip+":0")
	if err != nil {
		return nil, err
	}
	l := &link{address: ln.Addr().String(), to: to, dark: make(chan struct{})}
	go func() { <-b.stop; _ = ln.Close() }()
	go func() {
		for {
			c, err := ln.Accept()
			if err != nil {
				return
			}
			go l.carry(b, c)
		}
	}()
	return l, nil
}

func (l *link) carry(b *bed, c net.Conn) {
	up, err := net.Dial("tcp", l.to)
	if err != nil {
		<-b.stop
		return
	}
	copyTo := func(to, from net.Conn) {
		buf := make([]byte, 16<<10)
		for {
			n, err := from.Read(buf)
			select {
			case <-l.dark:
				<-b.stop
				return
			default:
			}
			if n > 0 {
				_, _ = to.Write(buf[:n])
			}
			if err != nil {
				if errors.Is(err, io.EOF) {
					_ = to.(*net.TCPConn).CloseWrite()
				} else {
					_ = to.Close()
				}
				return
			}
		}
	}
	go copyTo(up, c)
	copyTo(c, up)
}

func (l *link) goDark() {
	l.mu.Lock()
	defer l.mu.Unlock()
	close(l.dark)
}

const (
	// powerLoss is how long the machine is without power.
	powerLoss = 3500 * time.Millisecond
	// takeUps is the number of times that a client tries to take a stream up.
	takeUps = 3
)

// takeUp takes a broken stream up, as its client does: at other routers, and after a
// refusal once Retry-After has passed, or a third of the time left. It reports whether
// the stream goes on.
func (b *bed) takeUp(broken *answer, session string, start time.Time, front func(try int) string) bool {
	for try := range takeUps {
		left := streamDeadline - time.Since(start)
		if left <= 0 {
			return false
		}
		next := b.stream(front(try), "/chat/1", session, broken.id, broken.last, streamEvents, left)
		if next.last > broken.last {
			return true
		}
		time.Sleep(min(next.retry, (streamDeadline-time.Since(start))/3))
	}
	return false
}

// releaseAfter is the time from the loss of power to the start of the first worker of the
// other software version, 500 ms unless RELEASE_AFTER says otherwise.
func releaseAfter() time.Duration {
	d, err := time.ParseDuration(os.Getenv("RELEASE_AFTER"))
	if err != nil {
		return 500 * time.Millisecond
	}
	return d
}

// lostOrigins lets the machine of one router lose power shortly before a release starts
// the first worker of another software version. The clients of that router take their
// streams up at the other routers, while all workers that began them serve.
func lostOrigins(b *bed, trouble bool) (bool, error) {
	if err := startStreams(b, 3, 4); err != nil {
		return false, err
	}
	const streams = 24
	lost := b.routers[0]
	way, err := newLink(b, lost.front)
	if err != nil {
		return false, err
	}
	var done sync.WaitGroup
	var mu sync.Mutex
	takenUp, wentOn, began, fresh := 0, 0, 0, 0
	for i := range streams {
		done.Add(1)
		go func() {
			defer done.Done()
			session := fmt.Sprintf("%08x", 0xa0000000+i)
			start := time.Now()
			a := b.stream(way.address, "/chat/1", session, "", 0, streamEvents, streamDeadline)
			if a.whole || a.last == 0 {
				return
			}
			on := b.takeUp(a, session, start, func(try int) string { return b.routers[1+(i+try)%2].front })
			mu.Lock()
			defer mu.Unlock()
			takenUp++
			if on {
				wentOn++
			}
		}()
		time.Sleep(20 * time.Millisecond)
	}
	time.Sleep(time.Second)
	after := releaseAfter()
	failed := make(chan error, 1)
	go func() {
		time.Sleep(time.Second + after)
		failed <- b.addWorker(newEngine("w5", "v2"))
	}()
	time.Sleep(time.Second)
	if trouble {
		way.goDark()
		b.record.line("the machine of %s loses power", lost.name)
		b.kill(lost)
	}
	lostAt := time.Now()
	time.Sleep(500 * time.Millisecond)
	// New streams begin at the other routers at the same time.
	time.Sleep(time.Second)
	for i := range streams {
		done.Add(1)
		go func() {
			defer done.Done()
			a := b.stream(b.routers[1+i%2].front, "/chat/1", fmt.Sprintf("%08x", 0xb0000000+i), "", 0, streamEvents, streamDeadline)
			mu.Lock()
			defer mu.Unlock()
			fresh++
			if a.last > 0 {
				began++
			}
		}()
		time.Sleep(40 * time.Millisecond)
	}
	if trouble {
		time.Sleep(time.Until(lostAt.Add(powerLoss)))
		if err := b.start(lost); err != nil {
			return false, err
		}
	}
	done.Wait()
	if err := <-failed; err != nil {
		return false, err
	}
	b.record.line("%d of %d streams that clients took up went on, %d of %d new streams began", wentOn, takenUp, began, fresh)
	fmt.Printf("%d of %d streams that clients took up went on, %d of %d new streams began\n", wentOn, takenUp, began, fresh)
	if takenUp < 12 {
		return false, nil
	}
	return float64(wentOn)/float64(takenUp) < 0.5*float64(began)/float64(fresh), nil
}
