package host

import (
	"errors"
	"fmt"
	"net"
	"sync"
	"sync/atomic"
	"time"
)

// Errors of connections between hosts.
var (
	ErrRefused = errors.New("connection refused")
	ErrKilled  = errors.New("host is down")
)

const (
	// guardPort is the port that reserves an address block for one process.
	guardPort = 1009
	// blocks is the number of address blocks, 127.1.0.0/16 and up.
	blocks = 250
	// hostsPerOctet is the number of hosts that differ in the last octet.
	hostsPerOctet = 250
)

// Options shape a fabric.
type Options struct {
	// Delay returns the one-way delay between two zones; nil means none.
	Delay func(from, to string) time.Duration
}

// Fabric is the network between the hosts of one process.
type Fabric struct {
	opt   Options
	block int
	guard net.Listener

	mu    sync.Mutex
	hosts map[string]*Host
	byIP  map[string]*Host
	ips   map[string]string
	conns map[*dialed]struct{}
	// kept are the sockets of silent connections that their dialer closed.
	kept []net.Conn

	rules atomic.Pointer[[]*rule]
}

// NewFabric reserves a block of loopback addresses.
func NewFabric(opt Options) (*Fabric, error) {
	if opt.Delay == nil {
		opt.Delay = func(string, string) time.Duration { return 0 }
	}
	f := &Fabric{
		opt:   opt,
		hosts: make(map[string]*Host),
		byIP:  make(map[string]*Host),
		ips:   make(map[string]string),
		conns: make(map[*dialed]struct{}),
	}
	f.rules.Store(new([]*rule))
	first := int(time.Now().UnixNano()/int64(time.Microsecond)) % blocks
	for i := range blocks {
		block := 1 + (first+i)%blocks
		guard, err := net.Listen("tcp", fmt.Sprintf("127.%d.255.254:%d", block, guardPort))
		if err != nil {
			continue
		}
		f.block, f.guard = block, guard
		return f, nil
	}
	return nil, errors.New("reserve loopback addresses: all blocks are in use")
}

// Close kills all hosts and releases the addresses.
func (f *Fabric) Close() error {
	for _, h := range f.all() {
		h.Kill()
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, c := range f.kept {
		_ = c.Close()
	}
	return f.guard.Close()
}

// Host adds a host in a zone. A host of the same name that was killed is
// replaced and its address kept.
func (f *Fabric) Host(name, zone string) *Host {
	f.mu.Lock()
	defer f.mu.Unlock()
	ip, ok := f.ips[name]
	if !ok {
		n := len(f.ips)
		ip = fmt.Sprintf("127.%d.%d.%d", f.block, n/hostsPerOctet, 1+n%hostsPerOctet)
		f.ips[name] = ip
	}
	h := newHost(f, name, zone, ip)
	f.hosts[name] = h
	f.byIP[ip] = h
	return h
}

// Get returns the newest host of that name, or nil.
func (f *Fabric) Get(name string) *Host {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.hosts[name]
}

func (f *Fabric) all() []*Host {
	f.mu.Lock()
	defer f.mu.Unlock()
	out := make([]*Host, 0, len(f.hosts))
	for _, h := range f.hosts {
		out = append(out, h)
	}
	return out
}

// at returns the host that has the IP address, or nil for addresses outside
// the fabric.
func (f *Fabric) at(ip string) *Host {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.byIP[ip]
}

func (f *Fabric) add(c *dialed) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.conns[c] = struct{}{}
}

func (f *Fabric) remove(c *dialed) {
	f.mu.Lock()
	defer f.mu.Unlock()
	delete(f.conns, c)
}

func (f *Fabric) keepOpen(c net.Conn) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.kept = append(f.kept, c)
}

func (f *Fabric) openConns() []*dialed {
	f.mu.Lock()
	defer f.mu.Unlock()
	out := make([]*dialed, 0, len(f.conns))
	for c := range f.conns {
		out = append(out, c)
	}
	return out
}
