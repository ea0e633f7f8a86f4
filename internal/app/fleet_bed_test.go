package app

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"errors"
	"fmt"
	"io"
	"maps"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/pelletier/go-toml/v2"
	"github.com/shoenig/test/must"
	"github.com/sirupsen/logrus"

	"github.com/zinniafork/zinniafork/internal/config"
	"github.com/zinniafork/zinniafork/internal/fleet"
	"github.com/zinniafork/zinniafork/internal/httpserve"
	"github.com/zinniafork/zinniafork/internal/kernel"
	"github.com/zinniafork/zinniafork/internal/kernel/kerneltest"
	"github.com/zinniafork/zinniafork/internal/service/configsync"
	"github.com/zinniafork/zinniafork/internal/service/owner"
	"github.com/zinniafork/zinniafork/internal/settings"
	"github.com/zinniafork/zinniafork/internal/standin/logd"
	"github.com/zinniafork/zinniafork/internal/standin/vmlistd"
)

// fleetBed is a site of the router's own interface in one process, under a false clock: the log,
// the VM list, an engine, a worker of a plain service and three routers.
type fleetBed struct {
	t       *testing.T
	network *kerneltest.Network
	list    *vmlistd.Server
	targets *fleetTargets
	routers map[fleet.VM]*fleetRouter
	client  *http.Client
}

// fleetRouter is one router with the network that ends when it is killed.
type fleetRouter struct {
	*kernel.Kernel
	network *mortalNetwork
}

var fleetVMs = []fleet.VM{"r1", "r2", "r3"}

const (
	fleetLog    = "10.0.9.9:80"
	fleetList   = "10.0.9.8:80"
	fleetEngine = "10.1.0.1:80"
	fleetWorker = "10.1.0.2:80"
)

// onFleet runs a test on a site whose targets have owners.
func onFleet(t *testing.T, f func(t *testing.T, b *fleetBed)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		b := &fleetBed{
			t: t, network: kerneltest.NewNetwork(), list: vmlistd.New(), targets: &fleetTargets{seen: make(map[string]int)},
			routers: make(map[fleet.VM]*fleetRouter),
		}
		t.Cleanup(func() { time.Sleep(10 * time.Second) }) // what still runs notices the close
		b.client = &http.Client{Transport: &http.Transport{DialContext: b.network.DialContext, DisableKeepAlives: true}}
		log := logd.New()
		text, err := toml.Marshal(fleetConfig())
		must.NoError(t, err)
		log.Append(configsync.Stream, configsync.Genesis(text))
		b.serve(fleetLog, log.Handler())
		b.serve(fleetList, b.list.Handler())
		b.serve(fleetEngine, b.targets.handler())
		b.serve(fleetWorker, b.targets.handler())
		for _, vm := range fleetVMs {
			b.start(vm)
		}
		time.Sleep(12 * time.Second)
		f(t, b)
	})
}

// fleetConfig has one engine, one worker, whose POST requests are orders, and 40 accounts.
func fleetConfig() *config.Config {
	c := config.Defaults()
	c.Site = "s"
	c.Members = []config.Member{{Name: "m", Weight: 1}}
	c.DataCentres = []config.DataCentre{{Name: "dc1"}}
	c.Models = []config.Model{{Name: "model"}}
	c.Services = []config.Service{{Name: "docs", OrderMethods: []string{http.MethodPost}}}
	c.Targets = []config.Target{
		{Name: "engine", DataCentre: "dc1", URL: "http://" + fleetEngine, Models: []fleet.Model{"model"}, Slots: 64, ColdSlots: 64, Resumes: true},
		{Name: "worker", DataCentre: "dc1", URL: "http://" + fleetWorker, Service: "docs", Slots: 64, ColdSlots: 64},
	}
	for i := range 40 {
		sum := sha256.Sum256([]byte(fleetKey(i)))
		c.Accounts = append(c.Accounts, config.Account{
			Name: fleet.Account(fmt.Sprint("account-", i)), Member: "m", Weight: 1, KeyHashes: []string{hex.EncodeToString(sum[:])},
		})
	}
	return c
}

func fleetKey(account int) string { return fmt.Sprint("key-", account) }

func (b *fleetBed) serve(address string, h http.Handler) {
	server, err := httpserve.Start(context.Background(), b.network, address, h)
	must.NoError(b.t, err)
	b.t.Cleanup(func() { _ = server.Close() })
}

func (b *fleetBed) start(vm fleet.VM) {
	host := "10.0.0." + strings.TrimPrefix(string(vm), "r")
	file, err := settings.Parse("router.toml", fmt.Appendf(nil, `
[vm]
name = %q
data_centre = "dc1"
site = "s"
[platform]
log_url = "http://%s"
vm_list_url = "http://%s"
[caller]
listen = "%[4]s:7001"
[peer]
listen = "%[4]s:7002"
[admin]
listen = "%[4]s:7003"
`, vm, fleetLog, fleetList, host))
	must.NoError(b.t, err)
	logger := logrus.New()
	logger.SetOutput(io.Discard)
	network := &mortalNetwork{Network: b.network, conns: make(map[*mortalConn]bool)}
	k, err := NewRouter(kernel.Env{Net: network, Log: logger, Seed: 7}, file)
	must.NoError(b.t, err)
	must.NoError(b.t, k.Start(context.Background()))
	b.routers[vm] = &fleetRouter{Kernel: k, network: network}
	b.t.Cleanup(func() { b.kill(vm, "EOF") })
	b.list.Put(fleet.VMInfo{
		VM: vm, DataCentre: "dc1", Site: "s", State: fleet.VMLive,
		PeerAddr: host + ":7002", CallerAddr: host + ":7001", AdminAddr: host + ":7003",
	})
}

// kill ends the process of a router: all its connections end at the same moment.
func (b *fleetBed) kill(vm fleet.VM, how string) {
	r, ok := b.routers[vm]
	if !ok {
		return
	}
	delete(b.routers, vm)
	r.network.kill(how)
	_ = r.Stop(context.Background())
}

// stop stops a router whose grace is over: what it still runs is canceled.
func (b *fleetBed) stop(vm fleet.VM) {
	r := b.routers[vm]
	delete(b.routers, vm)
	_ = r.Stop(context.Background())
	r.network.kill("EOF")
}

// ownerOf returns the router that owns a resource.
func (b *fleetBed) ownerOf(r owner.Resource) fleet.VM {
	b.t.Helper()
	for vm, k := range b.routers {
		o, err := kernel.Find[owner.Ownership](k.Kernel, owner.Name)
		must.NoError(b.t, err)
		if o.Holds(r) {
			return vm
		}
	}
	b.t.Fatalf("%s has no owner", r)
	return ""
}

// entryBut returns a router other than vm.
func (b *fleetBed) entryBut(vm fleet.VM) fleet.VM {
	for _, other := range fleetVMs {
		if b.routers[other] != nil && other != vm {
			return other
		}
	}
	b.t.Fatal("no other router")
	return ""
}

// send sends a request of an account to a router.
func (b *fleetBed) send(vm fleet.VM, account int, method, path, body string, header map[string]string) answer {
	host := "10.0.0." + strings.TrimPrefix(string(vm), "r")
	r, err := http.NewRequestWithContext(context.Background(), method, "http://"+host+":7001"+path, strings.NewReader(body))
	must.NoError(b.t, err)
	r.Header.Set("Authorization", "Bearer "+fleetKey(account))
	for name, value := range header {
		r.Header.Set(name, value)
	}
	resp, err := b.client.Do(r)
	if err != nil {
		return answer{err: err}
	}
	defer resp.Body.Close()
	data, err := io.ReadAll(resp.Body)
	return answer{status: resp.StatusCode, body: string(data), header: resp.Header, err: err}
}

// errProcessEnded is what a killed process sees of its network.
var errProcessEnded = errors.New("process has ended")

// mortalNetwork is the network of one process.
type mortalNetwork struct {
	kernel.Network

	mu        sync.Mutex
	dead      bool
	conns     map[*mortalConn]bool
	listeners []net.Listener
}

// kill ends all connections: "EOF" closes them, "reset" resets them, and "mid-frame" closes those
// to other routers within a frame.
func (n *mortalNetwork) kill(how string) {
	n.mu.Lock()
	if n.dead {
		n.mu.Unlock()
		return
	}
	n.dead = true
	conns, listeners := n.conns, n.listeners
	n.conns = nil
	n.mu.Unlock()
	for _, ln := range listeners {
		_ = ln.Close()
	}
	for c := range conns {
		c.end(how)
	}
}

// isDead reports whether the process was killed. It writes no more then, also to connections
// that are about to be closed.
func (n *mortalNetwork) isDead() bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.dead
}

// cutLinks resets the connections to other routers, while the process lives on.
func (n *mortalNetwork) cutLinks() {
	n.mu.Lock()
	conns := maps.Clone(n.conns)
	n.mu.Unlock()
	for c := range conns {
		if c.peer {
			c.end("reset")
		}
	}
}

func (n *mortalNetwork) track(raw net.Conn, peer bool) (net.Conn, error) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.dead {
		_ = raw.Close()
		return nil, errProcessEnded
	}
	c := &mortalConn{Conn: raw, network: n, peer: peer}
	n.conns[c] = true
	return c, nil
}

func isPeerAddress(address string) bool { return strings.HasSuffix(address, ":7002") }

func (n *mortalNetwork) DialContext(ctx context.Context, network, address string) (net.Conn, error) {
	raw, err := n.Network.DialContext(ctx, network, address)
	if err != nil {
		return nil, err
	}
	return n.track(raw, isPeerAddress(address))
}

func (n *mortalNetwork) Listen(ctx context.Context, network, address string) (net.Listener, error) {
	ln, err := n.Network.Listen(ctx, network, address)
	if err != nil {
		return nil, err
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	n.listeners = append(n.listeners, ln)
	return &mortalListener{Listener: ln, network: n, peer: isPeerAddress(address)}, nil
}

type mortalListener struct {
	net.Listener
	network *mortalNetwork
	peer    bool
}

func (l *mortalListener) Accept() (net.Conn, error) {
	raw, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return l.network.track(raw, l.peer)
}

// mortalConn is a connection of one process.
type mortalConn struct {
	net.Conn
	network *mortalNetwork
	peer    bool

	// writing lets one write end before another begins.
	writing sync.Mutex
	ended   bool
}

func (c *mortalConn) Write(p []byte) (int, error) {
	c.writing.Lock()
	defer c.writing.Unlock()
	if c.ended || c.network.isDead() {
		return 0, errProcessEnded
	}
	return c.Conn.Write(p)
}

func (c *mortalConn) Close() error {
	c.network.mu.Lock()
	delete(c.network.conns, c)
	c.network.mu.Unlock()
	return c.Conn.Close()
}

// end ends the connection as the end of the process does.
func (c *mortalConn) end(how string) {
	if how == "mid-frame" && c.peer {
		c.writing.Lock()
		_ = c.SetWriteDeadline(time.Now().Add(time.Second))
		_, _ = c.Conn.Write([]byte{0, 0, 0, 64, 0x80}) // the size of a frame, and its first byte
		c.ended = true
		c.writing.Unlock()
	}
	if l, ok := c.Conn.(interface{ SetLinger(int) error }); ok && how == "reset" {
		_ = l.SetLinger(0)
	}
	_ = c.Conn.Close()
}
