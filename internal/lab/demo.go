// Package lab runs small fleets in one process over loopback TCP, for the
// demo and for experiments.
package lab

import (
	"bytes"
	"context"
	"crypto/sha256"
	"encoding/hex"
	"errors"
	"fmt"
	"io"
	"net/http"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/zinniafork/zinniafork/internal/app"
	"github.com/zinniafork/zinniafork/internal/httpserve"
	"github.com/zinniafork/zinniafork/internal/kernel"
	"github.com/zinniafork/zinniafork/internal/service/callerapi"
	"github.com/zinniafork/zinniafork/internal/service/configsync"
	"github.com/zinniafork/zinniafork/internal/settings"
	"github.com/zinniafork/zinniafork/internal/standin/engined"
	"github.com/zinniafork/zinniafork/internal/standin/logd"
	"github.com/zinniafork/zinniafork/internal/standin/plaind"
	"github.com/zinniafork/zinniafork/internal/standin/vmlistd"
)

// DemoKey is the key of the demo's client account.
const DemoKey = "demo-key"

const readyLimit = 5 * time.Second

const demoSettings = `
[vm]
name = "demo-1"
data_centre = "demo-dc1"
site = "demo"

[platform]
log_url = %q
vm_list_url = %q
`

// Demo starts one router with an engine and a print queue, sends a chat and
// an order, and writes what happened to out.
func Demo(ctx context.Context, out io.Writer) (err error) {
	log, engine, worker := logd.New(), engined.New(engined.Options{Tokens: 5}), plaind.New("print-1")
	var servers []*httpserve.Server
	defer func() {
		for _, s := range servers {
			err = errors.Join(err, s.Close())
		}
	}()
	urls := make([]string, 0, 4)
	for _, h := range []http.Handler{log.Handler(), vmlistd.New().Handler(), engine.Handler(), worker.Handler()} {
		s, err := httpserve.Start(ctx, kernel.SystemNetwork{}, "127.0.0.1:0", h)
		if err != nil {
			return err
		}
		servers = append(servers, s)
		urls = append(urls, s.URL())
	}
	log.Append(configsync.Stream, configsync.Genesis(demoConfig(urls[2], urls[3])))

	file, err := settings.Parse("demo", fmt.Appendf(nil, demoSettings, urls[0], urls[1]))
	if err != nil {
		return err
	}
	quiet := logrus.New()
	quiet.SetOutput(io.Discard)
	k, err := app.NewRouter(kernel.Env{Log: quiet}, file)
	if err != nil {
		return err
	}
	if err := k.Start(ctx); err != nil {
		return err
	}
	defer func() { err = errors.Join(err, k.Drain(ctx)) }()
	api, err := kernel.Find[*callerapi.Service](k, callerapi.Name)
	if err != nil {
		return err
	}
	return visit(ctx, out, api.URL(), worker)
}

func visit(ctx context.Context, out io.Writer, base string, worker *plaind.Server) error {
	if err := waitReady(ctx, base); err != nil {
		return err
	}
	chat, err := post(ctx, base+"/v1/chat/completions", `{"model":"copydesk","stream":true,"messages":[{"role":"user","content":"Hello"}]}`)
	if err != nil {
		return err
	}
	fmt.Fprintf(out, "chat: %d bytes of answer\n", len(chat))
	order, err := post(ctx, base+"/v1/services/print/orders", `{"plates":2}`)
	if err != nil {
		return err
	}
	fmt.Fprintf(out, "order: %s", order)
	if runs := len(worker.Runs()); runs != 1 {
		return fmt.Errorf("demo: the order ran %d times", runs)
	}
	return nil
}

func waitReady(ctx context.Context, base string) error {
	ctx, cancel := context.WithTimeout(ctx, readyLimit)
	defer cancel()
	clock := kernel.SystemClock{}
	for {
		resp, err := http.Get(base + "/readyz")
		if err == nil {
			_ = resp.Body.Close()
			if resp.StatusCode == http.StatusOK {
				return nil
			}
		}
		if err := clock.Sleep(ctx, 20*time.Millisecond); err != nil {
			return fmt.Errorf("wait for router: %w", err)
		}
	}
}

func post(ctx context.Context, url, body string) ([]byte, error) {
	r, err := http.NewRequestWithContext(ctx, http.MethodPost, url, bytes.NewReader([]byte(body)))
	if err != nil {
		return nil, err
	}
	r.Header.Set("Authorization", "Bearer "+DemoKey)
	r.Header.Set("Idempotency-Key", "demo-order-1")
	resp, err := http.DefaultClient.Do(r)
	if err != nil {
		return nil, err
	}
	defer resp.Body.Close()
	data, err := io.ReadAll(resp.Body)
	if err != nil {
		return nil, err
	}
	if resp.StatusCode != http.StatusOK {
		return nil, fmt.Errorf("%s: status %d: %s", url, resp.StatusCode, data)
	}
	return data, nil
}

func demoConfig(engineURL, workerURL string) []byte {
	sum := sha256.Sum256([]byte(DemoKey))
	return fmt.Appendf(nil, `
[[accounts]]
name = "demo"
member = "trinidad"
weight = 1.0
key_hashes = [%q]

[[targets]]
name = "engine-1"
url = %q
models = ["copydesk"]
slots = 8
cold_slots = 1

[[targets]]
name = "print-1"
url = %q
service = "print"
slots = 4
cold_slots = 1
`, hex.EncodeToString(sum[:]), engineURL, workerURL)
}
