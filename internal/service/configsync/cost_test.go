package configsync_test

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/zinniafork/zinniafork/internal/core/configstate"
	"github.com/zinniafork/zinniafork/internal/kernel"
	"github.com/zinniafork/zinniafork/internal/platform/logstream"
	"github.com/zinniafork/zinniafork/internal/service/configsync"
	"github.com/zinniafork/zinniafork/internal/standin/logd"
)

// changesPerDay is the planned number of configuration changes per day.
const changesPerDay = 3100

// countingConn counts the bytes of a connection in both directions.
type countingConn struct {
	net.Conn
	bytes *atomic.Int64
}

func (c countingConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.bytes.Add(int64(n))
	return n, err
}

func (c countingConn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	c.bytes.Add(int64(n))
	return n, err
}

// countingLog returns a log client that adds its traffic to bytes.
func countingLog(url string, bytes *atomic.Int64) logstream.Log {
	transport := &http.Transport{DialContext: func(ctx context.Context, network, address string) (net.Conn, error) {
		conn, err := (&net.Dialer{}).DialContext(ctx, network, address)
		return countingConn{Conn: conn, bytes: bytes}, err
	}}
	return logstream.New(url, &http.Client{Transport: transport})
}

// plannedDocument returns a base document of the planned size, 1,200 targets, in
// which the target at index mark is drained; -1 drains none.
func plannedDocument(mark int) []byte {
	var b strings.Builder
	for i := range 1200 {
		fmt.Fprintf(&b, "[[targets]]\nname = \"engine-%d\"\nurl = \"http://10.0.%d.%d:8000\"\nslots = 12\ncold_slots = 2\n", i, i/200, i%200)
		if i == mark {
			b.WriteString("mark = \"drain\"\n")
		}
	}
	return []byte(b.String())
}

// BenchmarkFollowCost publishes marks on different targets of a configuration of the
// planned size. It reports the bytes that one router exchanges with the log for each
// change, snapshots included, and the rate at 3,100 changes a day, including the
// reads that find nothing.
func BenchmarkFollowCost(b *testing.B) {
	log := logd.New()
	server := httptest.NewServer(log.Handler())
	defer server.Close()
	var bytes, pollBytes atomic.Int64
	clock := kernel.SystemClock{}
	ctx := b.Context()
	publisher := configsync.NewPublisher(logstream.New(server.URL, http.DefaultClient), clock, "ada")
	_, err := publisher.Publish(ctx, configstate.Base, plannedDocument(-1))
	must.NoError(b, err)
	reader := countingLog(server.URL, &bytes)
	state := configstate.New()
	read := func() {
		page, err := reader.Read(ctx, configsync.Stream, state.Position(), 256, time.Second)
		must.NoError(b, err)
		out := configstate.Page{Earliest: page.Earliest, Next: page.Next}
		for _, r := range page.Records {
			out.Records = append(out.Records, configstate.Record(r))
		}
		state.ApplyPage(out, clock.Now(), clock.Now())
	}
	read()
	firstReadBytes := bytes.Swap(0)

	changes := 0
	for b.Loop() {
		changes++
		_, err := publisher.Publish(ctx, configstate.Base, plannedDocument(changes*131%1200))
		must.NoError(b, err)
		if state.SnapshotDue(clock.Now(), 24*time.Hour, 0) {
			data, err := state.Snapshot("")
			must.NoError(b, err)
			log.Append(configsync.Stream, data)
		}
		read()
	}
	perChange := float64(bytes.Load()) / float64(changes)

	poller := countingLog(server.URL, &pollBytes)
	const polls = 5
	for range polls {
		_, err := poller.Read(ctx, configsync.Stream, state.Position(), 256, 0)
		must.NoError(b, err)
	}
	perPoll := float64(pollBytes.Load()) / polls
	wait := configsync.DefaultSettings().ReadWait.Std().Seconds()
	b.ReportMetric(float64(firstReadBytes), "first-read-bytes")
	b.ReportMetric(perChange, "bytes/change")
	b.ReportMetric(perPoll, "bytes/poll")
	b.ReportMetric(perChange*changesPerDay/86400+perPoll/wait, "bytes/s-at-3100-a-day")
}
