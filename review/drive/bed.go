//go:build review

// Command drive plays the scripts of the review: routers as separate processes, and
// stand-ins of the platform's store, the workers and the clients by the users' pages.
package main

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/zinniafork/zinniafork/internal/standin/keyedlog"
)

const (
	host       = "review.example"
	tenant     = "acme"
	apiKey     = "key-of-acme"
	beatPeriod = 1200 * time.Millisecond
	// touch is StableWindowMs of a small deployment.
	touch = 3 * time.Second
)

// bed is the store, the workers and the routers of one run.
type bed struct {
	dir     string
	record  *recorder
	began   time.Time
	store   *keyedlog.Store
	address string
	// ip is a loopback address of this run, so that runs side by side share no ports.
	ip      string
	servers []*http.Server
	routers []*router
	workers []*worker
	stop    chan struct{}

	mu     sync.Mutex
	outage outage
	// crashes are the times at which deadly requests crashed workers.
	crashes []time.Time
}

// recorder writes record.txt.
type recorder struct {
	mu    sync.Mutex
	file  *os.File
	began time.Time
}

func (r *recorder) line(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.file, "%8.3f s  %s\n", time.Since(r.began).Seconds(), fmt.Sprintf(format, args...))
}

func newBed(recordFile string) (*bed, error) {
	file, err := os.Create(recordFile)
	if err != nil {
		return nil, err
	}
	dir, err := os.MkdirTemp("", "zf-review-")
	if err != nil {
		return nil, err
	}
	b := &bed{
		dir: dir, began: time.Now(), store: keyedlog.New(), stop: make(chan struct{}),
		ip: fmt.Sprintf("127.%d.%d.1", 64+rand.IntN(128), rand.IntN(250)),
	}
	b.record = &recorder{file: file, began: b.began}
	ln, err := net.Listen("tcp", b.ip+":0")
	if err != nil {
		return nil, err
	}
	b.address = ln.Addr().String()
	handler := b.store.Handler()
	server := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		b.mu.Lock()
		mode := b.outage
		b.mu.Unlock()
		switch mode {
		case storeSilent:
			_, _ = io.Copy(io.Discard, r.Body) // the end of a connection shows only once the body has been read
			<-r.Context().Done()
			panic(http.ErrAbortHandler)
		case storeResets:
			if conn, _, err := http.NewResponseController(w).Hijack(); err == nil {
				_ = conn.(*net.TCPConn).SetLinger(0)
				_ = conn.Close()
			}
			return
		}
		handler.ServeHTTP(w, r)
	})}
	b.servers = append(b.servers, server)
	go func() { _ = server.Serve(ln) }()
	return b, nil
}

// outage is how the store is down.
type outage int

const (
	storeUp outage = iota
	// storeSilent answers nothing, storeResets resets the connections of calls.
	storeSilent
	storeResets
)

func (o outage) String() string {
	return [...]string{"up", "down, silent", "down, resets connections"}[o]
}

// setStore lets the store be down or up again.
func (b *bed) setStore(o outage) {
	b.mu.Lock()
	b.outage = o
	b.mu.Unlock()
	b.record.line("the platform's store is %s", o)
}

func (b *bed) storeUp() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.outage == storeUp
}

// route is one route of the configuration.
type route struct {
	Name, Kind, Service string
	TimeoutMs, AimMs    int
	GapAimMs, Attempts  int
	Resumable           bool
}

// publish writes the configuration.
func (b *bed) publish(routes []route, engines, plain []string) {
	list := []any{}
	for _, r := range routes {
		list = append(list, map[string]any{
			"Name": r.Name, "Host": host, "PathPrefix": "/" + r.Name + "/", "Kind": r.Kind, "TimeoutMs": r.TimeoutMs,
			"TargetLatencyMs": r.AimMs, "Priority": 1, "Service": r.Service, "Attempts": r.Attempts, "Public": false,
			"Sticky": r.Kind == "stream", "Resumable": r.Resumable, "GapAimMs": r.GapAimMs,
		})
	}
	services := []any{}
	for _, name := range engines {
		services = append(services, map[string]any{
			"Name": name, "HealthPath": "/health", "MaxConns": 370, "Protocol": "h1", "Tls": false, "ColdS": 0.0, "ColdPerS": 0.0,
			"Engine": map[string]any{"Slots": 64, "KvCapacity": 447171, "TokenKvBytes": 18432, "LinkMbps": 280000.0, "Models": []any{map[string]any{"Name": "m"}}},
		})
	}
	for _, name := range plain {
		services = append(services, map[string]any{"Name": name, "HealthPath": "/health", "MaxConns": 110, "Protocol": "h1", "Tls": false, "ColdS": 0.0, "ColdPerS": 0.0})
	}
	b.store.PutJSON("keyed.op", "config", map[string]any{
		"Version": 7, "Routes": list, "Services": services,
		"Limits":  map[string]any{"MaxHeaderBytes": 16384, "MaxBodyBytes": 4194304, "HeaderTimeoutMs": 3000, "IdleTimeoutMs": 15000},
		"Tenants": []any{map[string]any{"Name": tenant, "ApiKeys": []any{apiKey}, "Priority": 1}},
	})
}

// router is one router process.
type router struct {
	name                                      string
	front, ready, directory, control, metrics string
	settings                                  string
	log                                       *os.File
	cmd                                       *exec.Cmd
	ended                                     chan struct{}
}

// Ports of routers lie below those that the system gives to outgoing connections, so that
// no client takes one while its router is down.
const (
	firstPort = 10000
	lastPort  = 32000
)

// freePorts returns n addresses with free ports.
func (b *bed) freePorts(n int) ([]string, error) {
	var listeners []net.Listener
	var out []string
	defer func() {
		for _, ln := range listeners {
			_ = ln.Close()
		}
	}()
	for tries := 0; len(out) < n; tries++ {
		ln, err := net.Listen("tcp", fmt.Sprintf("%s:%d", b.ip, firstPort+rand.IntN(lastPort-firstPort)))
		if err != nil {
			if tries > 100*n {
				return nil, err
			}
			continue
		}
		listeners = append(listeners, ln)
		out = append(out, ln.Addr().String())
	}
	return out, nil
}

// addRouters writes the settings of n routers from the template of the deploy file and
// starts them.
func (b *bed) addRouters(n int) error {
	template, err := os.ReadFile("deploy/router.toml.in")
	if err != nil {
		return err
	}
	ports, err := b.freePorts(5 * n)
	if err != nil {
		return err
	}
	var seeds []string
	for i := range min(n, 3) {
		seeds = append(seeds, ports[5*i+3])
	}
	seedList, _ := json.Marshal(seeds)
	for i := range n {
		p := ports[5*i : 5*i+5]
		r := &router{name: fmt.Sprintf("router-%d", i+1), front: p[0], ready: p[1], directory: p[2], control: p[3], metrics: p[4]}
		_, metricsPort, _ := net.SplitHostPort(r.metrics)
		text := strings.NewReplacer(
			"{{Listen.Control}}", r.control, "{{Listen.Front}}", r.front, "{{Listen.Ready}}", r.ready,
			"{{Listen.Directory}}", r.directory, "{{Zone}}", "pos", "{{Region}}", "tt-north", "{{Ip}}", b.ip,
			"{{InternalPorts.0}}", metricsPort, "{{Seeds|json}}", string(seedList), "{{Platform.Addr}}", b.address,
			"{{Limits.CpuShare}}", "0.4", "{{Bootstrap}}", "true", "{{Bounds.BudgetRatio}}", "0.2",
			"{{Bounds.BudgetSlack}}", "58", "{{Bounds.BudgetWindowS}}", "10",
		).Replace(string(template))
		if strings.Contains(text, "{{") {
			return fmt.Errorf("a placeholder of the template is not known")
		}
		r.settings = filepath.Join(b.dir, r.name+".toml")
		if err := os.WriteFile(r.settings, []byte(text), 0o600); err != nil {
			return err
		}
		if r.log, err = os.Create(filepath.Join(b.dir, r.name+".log")); err != nil {
			return err
		}
		b.routers = append(b.routers, r)
		if err := b.start(r); err != nil {
			return err
		}
	}
	return nil
}

// start starts a router. All but the first start are restarts, so that Bootstrap is false.
func (b *bed) start(r *router) error {
	if r.cmd != nil {
		text, err := os.ReadFile(r.settings)
		if err != nil {
			return err
		}
		text = bytes.ReplaceAll(text, []byte("first_start = true"), []byte("first_start = false"))
		text = bytes.ReplaceAll(text, []byte("cold_caches = true"), []byte("cold_caches = false"))
		if err := os.WriteFile(r.settings, text, 0o600); err != nil {
			return err
		}
	}
	cmd := exec.Command("target/zf-router", r.settings)
	cmd.Stdout, cmd.Stderr = r.log, r.log
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := cmd.Start(); err != nil {
		return err
	}
	ended := make(chan struct{})
	r.cmd, r.ended = cmd, ended
	go func() { _ = cmd.Wait(); close(ended) }()
	b.record.line("%s starts, front %s", r.name, r.front)
	return nil
}

// kill ends a router with SIGKILL.
func (b *bed) kill(r *router) {
	_ = r.cmd.Process.Signal(syscall.SIGKILL)
	<-r.ended
	b.record.line("%s is killed", r.name)
}

// awaitReady waits until all routers say that they are ready and know each other.
func (b *bed) awaitReady(limit time.Duration) error {
	client := &http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	deadline := time.Now().Add(limit)
	for time.Now().Before(deadline) {
		ok := true
		for _, r := range b.routers {
			select {
			case <-r.ended:
				text, _ := os.ReadFile(r.log.Name())
				b.record.line("%s has ended by itself; its log ends with %s", r.name, text[max(0, len(text)-2000):])
				return fmt.Errorf("%s has ended by itself", r.name)
			default:
			}
			if !isReady(client, r.ready) || b.listed(client, r) < len(b.routers) {
				ok = false
			}
		}
		if ok {
			b.record.line("all routers are ready and know each other")
			return nil
		}
		time.Sleep(100 * time.Millisecond)
	}
	return fmt.Errorf("routers are not ready after %s", limit)
}

func isReady(client *http.Client, address string) bool {
	resp, err := client.Get("http://" + address + "/-/ready")
	if err != nil {
		return false
	}
	_ = resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

// listed returns how many routers the directory of a router names.
func (b *bed) listed(client *http.Client, r *router) int {
	resp, err := client.Get("http://" + r.directory + "/-/resolve?Name=" + host + "&Region=tt-north&Zone=pos")
	if err != nil {
		return 0
	}
	defer resp.Body.Close()
	var out struct{ Addrs []string }
	_ = json.NewDecoder(resp.Body).Decode(&out)
	return len(out.Addrs)
}

// close ends everything that the run started.
func (b *bed) close() {
	close(b.stop)
	for _, r := range b.routers {
		if r.cmd != nil {
			_ = r.cmd.Process.Signal(syscall.SIGCONT)
			_ = r.cmd.Process.Signal(syscall.SIGKILL)
			<-r.ended
		}
		_ = r.log.Close()
	}
	for _, w := range b.workers {
		w.crash()
	}
	for _, s := range b.servers {
		_ = s.Close()
	}
	if os.Getenv("KEEP") == "" {
		_ = os.RemoveAll(b.dir)
	} else {
		fmt.Println("logs are in", b.dir)
	}
	_ = b.record.file.Close()
}
