package soak

import (
	"encoding/binary"
	"errors"
	"fmt"
	"net/netip"
	"os"
	"os/exec"
	"runtime"
	"syscall"
	"unsafe"

	"golang.org/x/sys/unix"
)

// The kernel asks the soak before a router process connects a socket (seccomp_unotify(2)), which
// needs neither rights nor help of the program. A proxy can't refuse the connections of one process
// only: it has accepted a connection before it sees who opened it.

// notification is struct seccomp_notif, verdict is struct seccomp_notif_resp.
type (
	notification struct {
		id         uint64
		pid, flags uint32
		number     int32
		arch       uint32
		ip         uint64
		args       [6]uint64
	}
	verdict struct {
		id    uint64
		value int64
		errno int32
		flags uint32
	}
)

// addressBytes is the length of an IPv4 socket address.
const addressBytes = 16

// startWatched starts a process and returns the descriptor on which its connects are asked for.
func startWatched(cmd *exec.Cmd) (listener int, err error) {
	done := make(chan error, 1)
	go func() {
		// The process inherits the filter of the thread that starts it. The thread is left locked, so
		// that it ends with the goroutine.
		runtime.LockOSThread()
		if listener, err = filterConnects(); err != nil {
			done <- err
			return
		}
		if err = cmd.Start(); err != nil {
			_ = unix.Close(listener)
		}
		done <- err
	}()
	return listener, <-done
}

// filterConnects lets the kernel ask about the connects of this thread and of the processes that
// it starts.
func filterConnects() (listener int, err error) {
	if err := unix.Prctl(unix.PR_SET_NO_NEW_PRIVS, 1, 0, 0, 0); err != nil {
		return 0, fmt.Errorf("watch connects: %w", err)
	}
	code := []unix.SockFilter{
		{Code: unix.BPF_LD | unix.BPF_W | unix.BPF_ABS}, // the number of the system call
		{Code: unix.BPF_JMP | unix.BPF_JEQ | unix.BPF_K, Jf: 1, K: unix.SYS_CONNECT},
		{Code: unix.BPF_RET | unix.BPF_K, K: unix.SECCOMP_RET_USER_NOTIF},
		{Code: unix.BPF_RET | unix.BPF_K, K: unix.SECCOMP_RET_ALLOW},
	}
	program := unix.SockFprog{Len: uint16(len(code)), Filter: &code[0]}
	fd, _, errno := unix.Syscall(unix.SYS_SECCOMP, unix.SECCOMP_SET_MODE_FILTER, unix.SECCOMP_FILTER_FLAG_NEW_LISTENER, uintptr(unsafe.Pointer(&program)))
	if errno != 0 {
		return 0, fmt.Errorf("watch connects: %w", errno)
	}
	unix.CloseOnExec(int(fd))
	return int(fd), nil
}

// serveConnects asks decide about each IPv4 address to which a process connects a socket, until
// the process has ended. The connect fails with the error that decide returns, zero lets it go on.
func serveConnects(listener, pid int, decide func(to netip.AddrPort, socket int) syscall.Errno) error {
	defer func() { _ = unix.Close(listener) }()
	process, err := unix.PidfdOpen(pid, 0)
	if err != nil {
		return fmt.Errorf("watch connects of process %d: %w", pid, err)
	}
	defer func() { _ = unix.Close(process) }()
	for {
		fds := []unix.PollFd{{Fd: int32(listener), Events: unix.POLLIN}, {Fd: int32(process), Events: unix.POLLIN}}
		if _, err := unix.Poll(fds, -1); err != nil && !errors.Is(err, unix.EINTR) {
			return fmt.Errorf("watch connects of process %d: %w", pid, err)
		}
		if fds[1].Revents != 0 {
			return nil // it has ended
		}
		if fds[0].Revents&unix.POLLIN == 0 {
			continue
		}
		var n notification
		if _, _, errno := unix.Syscall(unix.SYS_IOCTL, uintptr(listener), unix.SECCOMP_IOCTL_NOTIF_RECV, uintptr(unsafe.Pointer(&n))); errno != 0 {
			continue // the caller was interrupted or killed
		}
		answer := verdict{id: n.id, flags: unix.SECCOMP_USER_NOTIF_FLAG_CONTINUE}
		errno, err := decideOne(process, &n, decide)
		if err != nil {
			fmt.Fprintf(os.Stderr, "connect of process %d: %v\n", pid, err)
		}
		if errno != 0 {
			answer.errno, answer.flags = -int32(errno), 0
		}
		// It fails if the caller was interrupted or killed meanwhile.
		_, _, _ = unix.Syscall(unix.SYS_IOCTL, uintptr(listener), unix.SECCOMP_IOCTL_NOTIF_SEND, uintptr(unsafe.Pointer(&answer)))
	}
}

// decideOne asks decide about one connect.
func decideOne(process int, n *notification, decide func(netip.AddrPort, int) syscall.Errno) (syscall.Errno, error) {
	raw := make([]byte, addressBytes)
	local := []unix.Iovec{{Base: &raw[0], Len: addressBytes}}
	remote := []unix.RemoteIovec{{Base: uintptr(n.args[1]), Len: addressBytes}}
	if n.args[2] < addressBytes {
		return 0, nil // an address of another family
	}
	if _, err := unix.ProcessVMReadv(int(n.pid), local, remote, 0); errors.Is(err, unix.ESRCH) {
		return 0, nil // it was killed
	} else if err != nil {
		return 0, fmt.Errorf("read address: %w", err)
	}
	if binary.NativeEndian.Uint16(raw) != unix.AF_INET {
		return 0, nil
	}
	to := netip.AddrPortFrom(netip.AddrFrom4([4]byte(raw[4:8])), binary.BigEndian.Uint16(raw[2:]))
	socket, err := unix.PidfdGetfd(process, int(n.args[0]), 0)
	if errors.Is(err, unix.ESRCH) {
		return 0, nil
	} else if err != nil {
		return 0, fmt.Errorf("get socket: %w", err)
	}
	defer func() { _ = unix.Close(socket) }()
	return decide(to, socket), nil
}

// bindTo lets a socket connect from an address. The kernel chooses the port by the connection, so
// that ports don't run out.
func bindTo(socket int, from netip.Addr) error {
	if err := unix.SetsockoptInt(socket, unix.SOL_IP, unix.IP_BIND_ADDRESS_NO_PORT, 1); err != nil {
		return fmt.Errorf("bind to %s: %w", from, err)
	}
	err := unix.Bind(socket, &unix.SockaddrInet4{Addr: from.As4()})
	if err != nil && !errors.Is(err, unix.EINVAL) { // bound before a signal interrupted the connect
		return fmt.Errorf("bind to %s: %w", from, err)
	}
	return nil
}

// deafen lets a socket take no packet any more, so that a connect hangs.
func deafen(socket int) error {
	code := []unix.SockFilter{{Code: unix.BPF_RET | unix.BPF_K}}
	if err := unix.SetsockoptSockFprog(socket, unix.SOL_SOCKET, unix.SO_ATTACH_FILTER, &unix.SockFprog{Len: 1, Filter: &code[0]}); err != nil {
		return fmt.Errorf("drop packets: %w", err)
	}
	return nil
}
