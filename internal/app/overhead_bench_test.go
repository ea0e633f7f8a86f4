package app_test

import (
	"bufio"
	"context"
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"io"
	"net/http"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"github.com/sirupsen/logrus"

	"github.com/zinniafork/zinniafork/internal/app"
	"github.com/zinniafork/zinniafork/internal/fleet"
	"github.com/zinniafork/zinniafork/internal/httpserve"
	"github.com/zinniafork/zinniafork/internal/kernel"
	"github.com/zinniafork/zinniafork/internal/service/callerapi"
	"github.com/zinniafork/zinniafork/internal/service/configsync"
	"github.com/zinniafork/zinniafork/internal/service/identity"
	"github.com/zinniafork/zinniafork/internal/settings"
	"github.com/zinniafork/zinniafork/internal/standin/engined"
	"github.com/zinniafork/zinniafork/internal/standin/logd"
	"github.com/zinniafork/zinniafork/internal/standin/vmlistd"
)

const benchKey = "bench-key"

func serveHandler(b *testing.B, h http.Handler) string {
	b.Helper()
	s, err := httpserve.Start(b.Context(), kernel.SystemNetwork{}, "127.0.0.1:0", h)
	must.NoError(b, err)
	b.Cleanup(func() { _ = s.Close() })
	return s.URL()
}

// startFleet starts routers before one engine and returns their URLs and that
// of the engine.
func startFleet(b *testing.B, routers int) (urls []string, engineURL string) {
	b.Helper()
	engine := engined.New(engined.Options{Slots: 64, Tokens: 2})
	b.Cleanup(engine.Close)
	log, list := logd.New(), vmlistd.New()
	engineURL = serveHandler(b, engine.Handler())
	sum := sha256.Sum256([]byte(benchKey))
	log.Append(configsync.Stream, configsync.Genesis(fmt.Appendf(nil, `
site = "gent"
[[members]]
name = "gent"
weight = 1.0
[[sites]]
name = "gent"
member = "gent"
[[data_centres]]
name = "gent-1"
region = "gent"
[[models]]
name = "m"
[[accounts]]
name = "shop"
member = "gent"
weight = 1.0
key_hashes = [%q]
[[targets]]
name = "engine-1"
data_centre = "gent-1"
url = %q
models = ["m"]
slots = 64
cold_slots = 64
`, hex.EncodeToString(sum[:]), engineURL)))
	logURL, listURL := serveHandler(b, log.Handler()), serveHandler(b, list.Handler())
	quiet := logrus.New()
	quiet.SetOutput(io.Discard)
	for i := range routers {
		text := fmt.Sprintf("[vm]\nname=\"vm%d\"\ndata_centre=\"gent-1\"\nsite=\"gent\"\n[platform]\nlog_url=%q\nvm_list_url=%q\n", i, logURL, listURL)
		file, err := settings.Parse("bench", []byte(text))
		must.NoError(b, err)
		k, err := app.NewRouter(kernel.Env{Log: quiet}, file)
		must.NoError(b, err)
		must.NoError(b, k.Start(context.Background()))
		b.Cleanup(func() { _ = k.Stop(context.Background()) })
		id, err := kernel.Find[identity.Identity](k, identity.Name)
		must.NoError(b, err)
		row := id.Self()
		row.State = fleet.VMLive
		list.Put(row)
		api, err := kernel.Find[*callerapi.Service](k, callerapi.Name)
		must.NoError(b, err)
		urls = append(urls, api.URL())
	}
	return urls, engineURL
}

// firstToken sends a chat and returns the time to its first event.
func firstToken(b *testing.B, client *http.Client, url string) time.Duration {
	b.Helper()
	r, err := http.NewRequestWithContext(b.Context(), http.MethodPost, url+"/v1/chat/completions",
		strings.NewReader(`{"model":"m","stream":true,"messages":[{"role":"user","content":"hello"}]}`))
	must.NoError(b, err)
	r.Header.Set("Authorization", "Bearer "+benchKey)
	begin := time.Now()
	resp, err := client.Do(r)
	must.NoError(b, err)
	defer resp.Body.Close()
	must.Eq(b, http.StatusOK, resp.StatusCode)
	in := bufio.NewReader(resp.Body)
	for line := ""; !strings.HasPrefix(line, "data:"); {
		line, err = in.ReadString('\n')
		must.NoError(b, err)
	}
	took := time.Since(begin)
	_, err = io.Copy(io.Discard, in)
	must.NoError(b, err)
	return took
}

// BenchmarkFirstToken compares the time to the first token through a fleet of
// three routers with that of the engine alone, in turns.
func BenchmarkFirstToken(b *testing.B) {
	urls, engineURL := startFleet(b, 3)
	client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 8}}
	b.Cleanup(client.CloseIdleConnections)
	for _, url := range urls {
		for end := time.Now().Add(20 * time.Second); ; time.Sleep(10 * time.Millisecond) {
			resp, err := client.Get(url + "/readyz")
			must.NoError(b, err)
			_ = resp.Body.Close()
			if resp.StatusCode == http.StatusOK {
				break
			}
			must.True(b, time.Now().Before(end))
		}
		firstToken(b, client, url)
	}
	var fleetTimes, directTimes []time.Duration
	for i := 0; b.Loop(); i++ {
		fleetTimes = append(fleetTimes, firstToken(b, client, urls[i%len(urls)]))
		directTimes = append(directTimes, firstToken(b, client, engineURL))
	}
	for _, q := range []float64{0.5, 0.99} {
		overhead := quantile(fleetTimes, q) - quantile(directTimes, q)
		b.ReportMetric(float64(overhead.Microseconds())/1000, fmt.Sprintf("ms-overhead-p%v", q*100))
		b.ReportMetric(float64(quantile(directTimes, q).Microseconds())/1000, fmt.Sprintf("ms-direct-p%v", q*100))
	}
}

func quantile(times []time.Duration, q float64) time.Duration {
	sorted := slices.Sorted(slices.Values(times))
	return sorted[int(q*float64(len(sorted)-1))]
}

// BenchmarkRouter sends chats of two tokens through one router, many at once.
func BenchmarkRouter(b *testing.B) {
	urls, _ := startFleet(b, 1)
	client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 64}}
	b.Cleanup(client.CloseIdleConnections)
	for {
		resp, err := client.Get(urls[0] + "/readyz")
		must.NoError(b, err)
		_ = resp.Body.Close()
		if resp.StatusCode == http.StatusOK {
			break
		}
		time.Sleep(10 * time.Millisecond)
	}
	b.ReportAllocs()
	b.SetParallelism(4)
	b.ResetTimer()
	b.RunParallel(func(p *testing.PB) {
		for p.Next() {
			firstToken(b, client, urls[0])
		}
	})
	b.ReportMetric(float64(b.N)/b.Elapsed().Seconds(), "requests/s")
}
