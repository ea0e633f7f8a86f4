package weights_test

import (
	"bytes"
	"errors"
	"io"
	"testing"
	"testing/synctest"
	"time"

	"github.com/shoenig/test/must"

	"github.com/zinniafork/zinniafork/internal/kernel"
	"github.com/zinniafork/zinniafork/internal/kernel/kerneltest"
	"github.com/zinniafork/zinniafork/internal/platform/weights"
	"github.com/zinniafork/zinniafork/internal/standin/fault"
	"github.com/zinniafork/zinniafork/internal/standin/standintest"
	"github.com/zinniafork/zinniafork/internal/standin/weightd"
)

const size = 1 << 20

func TestDownloadsAreRateLimited(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := weightd.New(weightd.Options{Bytes: size, BytesPerSecond: size / 4})
		served := standintest.Serve(t, kerneltest.NewNetwork(), s.Handler())
		store := weights.New(served.URL, served.Client)
		start := time.Now()
		var out bytes.Buffer
		n, err := store.Fetch(t.Context(), weights.Weights{Model: "m", Version: "v 1", Adapter: "a"}, &out)
		must.NoError(t, err)
		must.Eq(t, size, n)
		must.Eq(t, size, out.Len())
		must.Between(t, 3*time.Second, time.Since(start), 4*time.Second)
		synctest.Wait()
		must.Eq(t, "m/v 1/adapters/a", s.Downloads()[0].Path)
	})
}

func TestTooManyDownloadsAreRefused(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := weightd.New(weightd.Options{Bytes: size, BytesPerSecond: size / 4, Downloads: 1})
		served := standintest.Serve(t, kerneltest.NewNetwork(), s.Handler())
		store := weights.New(served.URL, served.Client)
		first := make(chan error, 1)
		go func() {
			_, err := store.Fetch(t.Context(), weights.Weights{Model: "m"}, io.Discard)
			first <- err
		}()
		synctest.Wait()
		_, err := store.Fetch(t.Context(), weights.Weights{Model: "m"}, io.Discard)
		var busy *weights.BusyError
		must.True(t, errors.As(err, &busy))
		must.Eq(t, time.Second, busy.RetryAfter)
		must.NoError(t, <-first)
	})
}

func TestFaultsOfTheStore(t *testing.T) {
	s := weightd.New(weightd.Options{Bytes: size, BytesPerSecond: 1 << 30})
	served := standintest.Serve(t, kernel.SystemNetwork{}, s.Handler())
	store := weights.New(served.URL, served.Client)
	for _, plan := range []fault.Plan{{Outage: true}, {Refuse: 1}, {LoseAnswers: 1}, {CutAfterBytes: size / 2}} {
		served.Set(plan)
		_, err := store.Fetch(t.Context(), weights.Weights{Model: "m"}, io.Discard)
		must.ErrorIs(t, err, weights.ErrUnavailable)
	}
}
