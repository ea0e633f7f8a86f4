//go:build review2

// Command drive2 plays the cases of the second review: it starts routers as separate processes
// and stands in for clients, workers and the platform's store.
package main

import (
	"cmp"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"strings"
	"sync"
	"time"

	"golang.org/x/sys/unix"

	"github.com/zinniafork/zinniafork/internal/standin/keyedlog"
)

// Names of the deployment.
const (
	host    = "shelf.example"
	account = "acme"
	key     = "n2ctnfzs989anu6wsjnb"
	region  = "tt-north"
)

// maxFds is MaxFds of the deployment: the descriptors that a router may have.
const maxFds = 4100

var zones = []string{"pos", "chag", "arima"}

// recorder writes record.txt.
type recorder struct {
	mu    sync.Mutex
	out   io.Writer
	began time.Time
}

// printf writes one line with the time since the start.
func (r *recorder) printf(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.out, "%8.3f  %s\n", time.Since(r.began).Seconds(), fmt.Sprintf(format, args...))
}

// site is a small deployment on loopback addresses.
type site struct {
	record  *recorder
	dir     string
	store   *keyedlog.Store
	gate    *gate
	server  *http.Server
	address string
	routers []*router
	workers []*worker
}

// gate makes the store silent for a time.
type gate struct {
	mu     sync.Mutex
	silent bool
}

func (g *gate) set(silent bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.silent = silent
}

func (g *gate) isSilent() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.silent
}

// newSite starts the store.
func newSite(record *recorder) (*site, error) {
	dir, err := os.MkdirTemp("", "review-2-")
	if err != nil {
		return nil, err
	}
	s := &site{record: record, dir: dir, store: keyedlog.New(), gate: new(gate)}
	ln, err := net.Listen("tcp", freeAddress())
	if err != nil {
		return nil, err
	}
	s.address = ln.Addr().String()
	inner := s.store.Handler()
	s.server = &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if s.gate.isSilent() {
			_, _ = io.Copy(io.Discard, r.Body)
			<-r.Context().Done()
			panic(http.ErrAbortHandler)
		}
		time.Sleep(4 * time.Millisecond)
		inner.ServeHTTP(w, r)
	})}
	go func() { _ = s.server.Serve(ln) }()
	return s, nil
}

// route is a route of the configuration.
type route struct {
	Name, Host, PathPrefix, Kind, Service string
	TimeoutMs, TargetLatencyMs            int
	Priority, Attempts                    int
	Public, Sticky, Resumable             bool
	GapAimMs                              int `json:",omitempty"`
}

// publish writes the configuration.
func (s *site) publish(routes []route, services []map[string]any) {
	s.store.PutJSON("keyed.op", "config", map[string]any{
		"Version": 7, "Routes": routes, "Services": services,
		"Limits":  map[string]any{"MaxHeaderBytes": 16384, "MaxBodyBytes": 4194304, "HeaderTimeoutMs": 3000, "IdleTimeoutMs": 15000},
		"Tenants": []any{map[string]any{"Name": account, "ApiKeys": []any{key}, "Priority": 1}},
	})
}

// router is one router process.
type router struct {
	name                                    string
	zone                                    string
	front, ready, control, directory, inner string
	settings                                string
	cmd                                     *exec.Cmd
	done                                    chan struct{}
}

// Ports below those that the system gives to connections.
const (
	firstPort = 18000
	lastPort  = 31000
)

// given holds the addresses that were given out.
var given = make(map[string]bool)

// loopback is the address of all that this process starts: its own one, so that cases that run at
// the same time don't take each other's ports.
var loopback = fmt.Sprintf("127.%d.%d.%d", 1+os.Getpid()>>16&63, os.Getpid()>>8&255, 1+os.Getpid()&127)

// freeAddress returns a loopback address with a free port.
func freeAddress() string {
	for {
		address := fmt.Sprintf("%s:%d", loopback, firstPort+rand.IntN(lastPort-firstPort))
		if given[address] {
			continue
		}
		ln, err := net.Listen("tcp", address)
		if err != nil {
			continue
		}
		_ = ln.Close()
		given[address] = true
		return address
	}
}

var (
	sections     = regexp.MustCompile(`(?s)\{\{#[^}]*\}\}.*?\{\{/[^}]*\}\}`)
	placeholders = regexp.MustCompile(`\{\{([^}]+)\}\}`)
)

// settingsOf fills in the template of the deploy file.
func settingsOf(values map[string]string) (string, error) {
	template, err := os.ReadFile("deploy/router.toml.in")
	if err != nil {
		return "", err
	}
	text := sections.ReplaceAllString(string(template), "")
	missing := ""
	text = placeholders.ReplaceAllStringFunc(text, func(p string) string {
		name := strings.Trim(p, "{}")
		v, ok := values[name]
		if !ok {
			missing = name
		}
		return v
	})
	if missing != "" {
		return "", fmt.Errorf("template: no value for %s", missing)
	}
	return text, nil
}

// addRouters starts n routers, spread over the zones.
func (s *site) addRouters(n int) error {
	for i := range n {
		s.routers = append(s.routers, &router{
			name: fmt.Sprintf("front-%d", i+1), zone: zones[i%len(zones)],
			front: freeAddress(), ready: freeAddress(), control: freeAddress(), directory: freeAddress(), inner: freeAddress(),
		})
	}
	var seeds []string
	for _, r := range s.routers[:min(3, n)] {
		seeds = append(seeds, r.control)
	}
	seedList, _ := json.Marshal(seeds)
	for _, r := range s.routers {
		ip, port, _ := net.SplitHostPort(r.inner)
		text, err := settingsOf(map[string]string{
			"Limits.MemoryMb": "284", "Limits.MaxFds": fmt.Sprint(maxFds), "Limits.CpuShare": "0.4",
			"Listen.Control": r.control, "Listen.Front": r.front, "Listen.Ready": r.ready, "Listen.Directory": r.directory,
			"Zone": r.zone, "Region": region, "Seeds|json": string(seedList), "Bootstrap": "true", "Platform.Addr": s.address,
			"Bounds.BudgetRatio": "0.2", "Bounds.BudgetSlack": "58", "Bounds.BudgetWindowS": "10", "Bounds.StableWindowMs": "3000",
			"Contracts|json": `["base","drain","config","cost","retry","recover","engine","stream","tenants","places","platform"]`,
			"Ip":             ip, "InternalPorts.0": port,
		})
		if err != nil {
			return err
		}
		r.settings = filepath.Join(s.dir, r.name+".toml")
		if err := os.WriteFile(r.settings, []byte(text), 0o600); err != nil {
			return err
		}
		if err := s.start(r); err != nil {
			return err
		}
	}
	return s.awaitReady()
}

// start starts a router process as the deploy file does.
func (s *site) start(r *router) error {
	log, err := os.OpenFile(filepath.Join(s.dir, r.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer log.Close()
	r.cmd = exec.Command("target/zf-router", r.settings)
	r.cmd.Stdout, r.cmd.Stderr = log, log
	if err := r.cmd.Start(); err != nil {
		return err
	}
	if err := unix.Prlimit(r.cmd.Process.Pid, unix.RLIMIT_NOFILE, &unix.Rlimit{Cur: maxFds, Max: maxFds}, nil); err != nil {
		return err
	}
	done := make(chan struct{})
	r.done = done
	go func() { _ = r.cmd.Wait(); close(done) }()
	s.record.printf("router %s started: front %s", r.name, r.front)
	return nil
}

// awaitReady waits until all routers are ready and know each other.
func (s *site) awaitReady() error {
	client := &http.Client{Timeout: time.Second}
	for limit := time.Now().Add(15 * time.Second); time.Now().Before(limit); time.Sleep(100 * time.Millisecond) {
		ready := 0
		for _, r := range s.routers {
			if resp, err := client.Get("http://" + r.ready + "/-/ready"); err == nil {
				_ = resp.Body.Close()
				if resp.StatusCode == http.StatusOK && len(s.addresses(r)) == len(s.routers) {
					ready++
				}
			}
		}
		if ready == len(s.routers) {
			s.record.printf("all routers are ready")
			return nil
		}
	}
	return fmt.Errorf("routers are not ready")
}

// addresses asks a router's directory where to connect.
func (s *site) addresses(r *router) []string {
	client := &http.Client{Timeout: time.Second}
	resp, err := client.Get("http://" + r.directory + "/-/resolve?Name=" + host + "&Region=" + region + "&Zone=" + r.zone)
	if err != nil {
		return nil
	}
	defer resp.Body.Close()
	var out struct{ Addrs []string }
	if json.NewDecoder(resp.Body).Decode(&out) != nil {
		return nil
	}
	return out.Addrs
}

// close ends all processes and keeps the logs if they are asked for.
func (s *site) close() {
	for _, r := range s.routers {
		if r.cmd != nil {
			_ = r.cmd.Process.Kill()
			<-r.done
		}
	}
	for _, w := range s.workers {
		w.stop()
	}
	_ = s.server.Close()
	if os.Getenv("KEEP") == "" {
		_ = os.RemoveAll(s.dir)
	} else {
		fmt.Println("logs in", s.dir)
	}
}

// request is one client attempt.
type request struct {
	ID, Path string
	// Method is POST if it is empty.
	Method    string
	Deadline  time.Duration
	Prompt    string
	Body      []byte
	LastEvent string
	Resumes   string
}

// build returns the HTTP request for a router.
func (q *request) build(ctx context.Context, address string) *http.Request {
	r, err := http.NewRequestWithContext(ctx, cmp.Or(q.Method, http.MethodPost), "http://"+address+q.Path, io.NopCloser(strings.NewReader(string(q.Body))))
	if err != nil {
		panic(err)
	}
	r.ContentLength = int64(len(q.Body))
	if len(q.Body) == 0 {
		r.Body = http.NoBody
	}
	r.Host = host
	r.Header.Set("X-Request-Id", q.ID)
	r.Header.Set("X-Deadline-Ms", fmt.Sprint(q.Deadline.Milliseconds()))
	r.Header.Set("Authorization", "Bearer "+key)
	if q.Prompt != "" {
		r.Header.Set("X-Model", "m")
		r.Header.Set("X-Token-Counts", "1460,80")
		r.Header.Set("X-Prompt-Prefix", q.Prompt)
	}
	if q.LastEvent != "" {
		r.Header.Set("Last-Event-Id", q.LastEvent)
	}
	if q.Resumes != "" {
		r.Header.Set("Resumes", q.Resumes)
	}
	return r
}
