package membudget

import (
	"errors"
	"fmt"
	"net"

	"github.com/zinniafork/zinniafork/internal/httpserve"
)

// megabyte is the number of bytes in a MB of the settings.
const megabyte = 1 << 20

// Shares of the memory of a machine. The rest is for the process itself, for garbage and for the
// operating system.
const (
	// processMB is what a router takes without requests: its program, its state and its
	// connections to other routers.
	processMB = 48
	// budgetShare is the share of the remaining memory that is held for others at most.
	budgetShare = 0.35
	// reserveRatio is the part of the budget that is kept for small bodies, as one in so many.
	reserveRatio = 8
	// responseRatio is the part of the budget that responses may take, as one in so many.
	responseRatio = 2
	// collectorShare is the share of all memory from which garbage is collected at once.
	collectorShare = 2.0 / 3
	// connectionRatio is the part of all memory that connections may take, as one in so many,
	// at connectionBytes each: its goroutine, its buffers and its sockets at rest.
	connectionRatio = 4
	connectionBytes = 20 << 10
	// socketRatio is the part of all memory that the sockets of clients may hold unread or
	// unsent, as one in so many.
	socketRatio = 12
)

// Shares of the descriptors.
const (
	// fileDescriptors are those reserved for files.
	fileDescriptors = 200
	// clientShare is the share of the others for clients. The rest is kept for targets, other
	// routers and the store.
	clientShare = 0.75
	// runningShare is the share for connections to targets that carry a request. The rest is
	// kept for other routers, the store and idle connections to targets.
	runningShare = 0.2
)

// Smallest limits that a router works with, and the default ones.
const (
	minMemoryMB        = 64
	minDescriptors     = fileDescriptors + 100
	defaultMemoryMB    = 512
	defaultDescriptors = 4096
)

// Limits is the machine that the process may use.
type Limits struct {
	// MemoryMB is the memory of the machine in MB.
	MemoryMB int
	// Descriptors is the number of descriptors that the process may open.
	Descriptors int
}

// DefaultLimits returns the limits of a process whose settings name none.
func DefaultLimits() Limits {
	return Limits{MemoryMB: defaultMemoryMB, Descriptors: defaultDescriptors}
}

// Validate checks the limits. The errors begin with the keys of the settings.
func (l Limits) Validate() error {
	switch {
	case l.MemoryMB < minMemoryMB:
		return fmt.Errorf("memory_mb: want at least %d, have %d", minMemoryMB, l.MemoryMB)
	case l.Descriptors < minDescriptors:
		return fmt.Errorf("max_descriptors: want at least %d, have %d", minDescriptors, l.Descriptors)
	}
	return nil
}

// Budget returns the number of bytes that may be held for others.
func (l Limits) Budget() int64 {
	return int64(float64(l.MemoryMB-processMB) * budgetShare * megabyte)
}

// CollectorGoal returns the number of bytes from which garbage is collected at once.
func (l Limits) CollectorGoal() int64 {
	return int64(float64(l.MemoryMB) * collectorShare * megabyte)
}

// Clients returns the largest number of connections of clients.
func (l Limits) Clients() int {
	return min(int(float64(l.Descriptors-fileDescriptors)*clientShare), l.MemoryMB*megabyte/connectionRatio/connectionBytes)
}

// Running returns the largest number of requests that are sent to targets at once.
func (l Limits) Running() int {
	return int(float64(l.Descriptors-fileDescriptors) * runningShare)
}

// Connections returns the limits of the connections of one server for clients.
func (s *Service) Connections() httpserve.ConnLimits {
	return httpserve.ConnLimits{
		Total:       s.limits.Clients(),
		SocketBytes: s.limits.MemoryMB * megabyte / socketRatio,
		Hold: func(c net.Conn, evict func()) httpserve.Hold {
			return s.Open(KindHead, AddressOf(c.RemoteAddr().String()), evict)
		},
		Closed: func(why error, address string) {
			way := HeadMemory
			switch {
			case errors.Is(why, httpserve.ErrConnLimit):
				way = ConnLimit
			case errors.Is(why, httpserve.ErrSocketBytes):
				way = SocketMemory
			}
			s.Note(way, AddressOf(address))
		},
	}
}

// AddressOf returns the owner for the address of a client without its port.
func AddressOf(remote string) Owner {
	host, _, err := net.SplitHostPort(remote)
	if err != nil {
		host = remote
	}
	return Owner(host)
}
