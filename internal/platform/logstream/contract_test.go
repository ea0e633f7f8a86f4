package logstream_test

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/shoenig/test/must"

	"github.com/zinniafork/zinniafork/internal/config"
	"github.com/zinniafork/zinniafork/internal/kernel"
	"github.com/zinniafork/zinniafork/internal/kernel/kerneltest"
	"github.com/zinniafork/zinniafork/internal/platform/logstream"
	"github.com/zinniafork/zinniafork/internal/standin/fault"
	"github.com/zinniafork/zinniafork/internal/standin/logd"
	"github.com/zinniafork/zinniafork/internal/standin/standintest"
)

func serve(t *testing.T, network kernel.Network, opt logd.Options) (*standintest.Served, *logd.Server, logstream.Log) {
	t.Helper()
	s := logd.NewWith(opt)
	served := standintest.Serve(t, network, s.Handler())
	return served, s, logstream.New(served.URL, served.Client)
}

func TestOffsetsRiseWithoutGaps(t *testing.T) {
	_, _, log := serve(t, kernel.SystemNetwork{}, logd.Options{})
	first, err := log.Append(t.Context(), "orders/3", []byte("a"), []byte("b"))
	must.NoError(t, err)
	must.Eq(t, 0, first)
	first, err = log.Append(t.Context(), "orders/3", []byte("c"))
	must.NoError(t, err)
	must.Eq(t, 2, first)

	page, err := log.Read(t.Context(), "orders/3", 1, 1, 0)
	must.NoError(t, err)
	must.Eq(t, 1, len(page.Records))
	must.Eq(t, 1, page.Records[0].Offset)
	must.Eq(t, "b", string(page.Records[0].Data))
	must.Eq(t, 3, page.Next)

	page, err = log.Read(t.Context(), "other", 0, 10, 0)
	must.NoError(t, err)
	must.Eq(t, 0, len(page.Records))
}

func TestReadWaitsForARecord(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		_, s, log := serve(t, kerneltest.NewNetwork(), logd.Options{})
		start := time.Now()
		page, err := log.Read(t.Context(), "s", 0, 10, 5*time.Second)
		must.NoError(t, err)
		must.Eq(t, 0, len(page.Records))
		must.Eq(t, 5*time.Second, time.Since(start))

		time.AfterFunc(time.Second, func() { s.Append("s", []byte("a")) })
		start = time.Now()
		page, err = log.Read(t.Context(), "s", 0, 10, time.Hour)
		must.NoError(t, err)
		must.Eq(t, 1, len(page.Records))
		must.Eq(t, time.Second, time.Since(start))
	})
}

func TestRecordsExpire(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		_, s, log := serve(t, kerneltest.NewNetwork(), logd.Options{Retention: time.Minute})
		s.Append("s", []byte("a"))
		time.Sleep(40 * time.Second)
		s.Append("s", []byte("b"))
		time.Sleep(40 * time.Second)
		page, err := log.Read(t.Context(), "s", 0, 10, 0)
		must.NoError(t, err)
		must.Eq(t, 1, page.Earliest)
		must.Eq(t, 2, page.Next)
		must.Eq(t, 1, len(page.Records))
		must.Eq(t, 1, page.Records[0].Offset, must.Sprint("offsets are never used twice"))
	})
}

func TestFaultsOfTheLog(t *testing.T) {
	cases := []struct {
		name    string
		plan    fault.Plan
		stop    bool
		records int
	}{
		{"connection refused", fault.Plan{}, true, 0},
		{"outage", fault.Plan{Outage: true}, false, 0},
		{"status 500", fault.Plan{Refuse: 1}, false, 0},
		{"answer lost after the effect", fault.Plan{LoseAnswers: 1}, false, 1},
		{"answer cut", fault.Plan{CutAfterBytes: 4}, false, 1},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			served, s, log := serve(t, kernel.SystemNetwork{}, logd.Options{})
			served.Set(c.plan)
			if c.stop {
				served.Stop()
			}
			_, err := log.Append(t.Context(), "s", []byte("a"))
			must.ErrorIs(t, err, logstream.ErrUnavailable)
			must.Eq(t, c.records, len(s.Records("s")))
			_, err = log.Read(t.Context(), "s", 0, 1, 0)
			must.ErrorIs(t, err, logstream.ErrUnavailable)
		})
	}
}

func TestRefusedAppendHasNoEffect(t *testing.T) {
	_, s, log := serve(t, kernel.SystemNetwork{}, logd.Options{})
	_, err := log.Append(t.Context(), "s")
	must.ErrorIs(t, err, logstream.ErrRefused)
	must.Eq(t, 0, len(s.Records("s")))
}

func TestLostAppendMayArriveLate(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		served, s, log := serve(t, kerneltest.NewNetwork(), logd.Options{LateAppends: time.Minute})
		served.Set(fault.Plan{LoseAnswers: 1})
		_, err := log.Append(t.Context(), "s", []byte("a"))
		must.ErrorIs(t, err, logstream.ErrUnavailable)
		must.Eq(t, 0, len(s.Records("s")))
		time.Sleep(time.Minute + time.Second)
		must.Eq(t, 1, len(s.Records("s")))
	})
}

func TestSlowAndSilentLog(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		served, _, log := serve(t, kerneltest.NewNetwork(), logd.Options{})
		served.Set(fault.Plan{Delay: config.Duration(time.Second)})
		_, err := log.Append(t.Context(), "s", []byte("a"))
		must.NoError(t, err)

		served.Set(fault.Plan{})
		synctest.Wait()
		served.SilenceOpen()
		start := time.Now()
		_, err = log.Append(t.Context(), "s", []byte("b"))
		must.ErrorIs(t, err, logstream.ErrUnavailable)
		must.LessEq(t, 5*time.Second, time.Since(start))
		_, err = log.Append(t.Context(), "s", []byte("c"))
		must.NoError(t, err, must.Sprint("a new connection works"))
	})
}

func TestAppendsAreLimited(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		_, _, log := serve(t, kerneltest.NewNetwork(), logd.Options{AppendsPerSecond: 10})
		start := time.Now()
		for range 21 {
			_, err := log.Append(t.Context(), "s", []byte("a"))
			must.NoError(t, err)
		}
		must.Eq(t, 2*time.Second, time.Since(start))
	})
}
