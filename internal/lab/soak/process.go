package soak

import (
	"fmt"
	"net/netip"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"sync"
	"syscall"
	"time"
)

// router is one router process and its links.
type router struct {
	index    int
	binary   string
	settings string
	log      *os.File
	// caller, ready, directory and metrics are its own addresses.
	caller, ready, directory, metrics string
	// store and peer are the proxies before the store and before its peer
	// interface.
	store, peer *proxy
	// paths are its ways to the workers.
	paths *paths

	mu    sync.Mutex
	cmd   *exec.Cmd
	ended chan struct{}
	code  int
	// ending is true once the process was told to end, killed once it was killed.
	ending, killed bool
	// program is the name of the program that runs, which may differ between routers.
	program string
	// begun is true once the process has opened a connection, and hangUpDue while SIGHUP waits
	// for that.
	begun, hangUpDue bool
	// crashes tells how processes ended that were not told to.
	crashes []string
	// disturbed holds the times in which the process was paused or killed.
	disturbed spans
	// starts are the times at which a process was started.
	starts []time.Time
	// restarting keeps two faults from starting a process each.
	restarting sync.Mutex
}

// settingsText is the settings of a router.
const settingsText = `
[process]
stack = "site"
drain_limit = "7s"
log_format = "json"
[vm]
name = "%[2]s"
data_centre = "%[1]s"
site = "soak"
peer_addr = "%[2]s"
caller_addr = "%[3]s"
[peer]
listen = "%[4]s"
[site]
seeds = ["%[5]s"]
[site_source]
address = "%[6]s"
[forward]
retry_ratio = 0.2
retry_slack = 58.0
[ingress]
listen = "%[3]s"
ready = "%[7]s"
directory = "%[8]s"
[metrics]
listen = "%[9]s"
`

// start starts the process.
func (r *router) start() error {
	r.mu.Lock()
	defer r.mu.Unlock()
	cmd := exec.Command(r.binary, r.settings)
	cmd.Stdout, cmd.Stderr = r.log, r.log
	r.starts = append(r.starts, time.Now())
	listener, err := startWatched(cmd)
	if err != nil {
		return fmt.Errorf("start router %d: %w", r.index, err)
	}
	ended := make(chan struct{})
	go func() {
		if err := serveConnects(listener, cmd.Process.Pid, r.connect); err != nil {
			fmt.Fprintf(os.Stderr, "router %d: %v\n", r.index, err)
		}
	}()
	r.cmd, r.ended, r.ending, r.killed = cmd, ended, false, false
	r.begun, r.hangUpDue = false, false
	r.disturbed.end()
	go func() {
		_ = cmd.Wait() // the code tells how it ended
		r.mu.Lock()
		r.code = cmd.ProcessState.ExitCode()
		if !r.ending {
			age := time.Since(r.starts[len(r.starts)-1])
			r.crashes = append(r.crashes, fmt.Sprintf("%s %d ms after its start", cmd.ProcessState, age.Milliseconds()))
		}
		r.mu.Unlock()
		close(ended)
	}()
	return nil
}

// connect decides on a connection that the process opens.
func (r *router) connect(to netip.AddrPort, socket int) syscall.Errno {
	r.mu.Lock()
	r.begun = true
	if r.hangUpDue {
		_ = r.cmd.Process.Signal(syscall.SIGHUP) // it may just have ended
	}
	r.hangUpDue = false
	r.mu.Unlock()
	return r.paths.connect(to, socket)
}

// startTimes returns the times at which a process was started.
func (r *router) startTimes() []time.Time {
	r.mu.Lock()
	defer r.mu.Unlock()
	return slices.Clone(r.starts)
}

// signal sends a signal to the process that start started. SIGHUP, which ends a program that does
// not handle it yet, waits until the process connects: it has not read its settings before.
func (r *router) signal(s syscall.Signal) {
	r.mu.Lock()
	defer r.mu.Unlock()
	select {
	case <-r.ended:
		return
	default:
	}
	if s == syscall.SIGHUP && !r.begun {
		r.hangUpDue = true
		return
	}
	if s == syscall.SIGSTOP || s == syscall.SIGKILL {
		r.disturbed.begin()
	}
	_ = r.cmd.Process.Signal(s) // it may just have ended
	r.ending = r.ending || s == syscall.SIGTERM || s == syscall.SIGKILL
	r.killed = r.killed || s == syscall.SIGKILL
	if s == syscall.SIGCONT && !r.killed {
		r.disturbed.end()
	}
}

// noteProgram notes which program runs.
func (r *router) noteProgram() {
	r.mu.Lock()
	defer r.mu.Unlock()
	if path, err := os.Readlink(fmt.Sprintf("/proc/%d/exe", r.cmd.Process.Pid)); err == nil { // it may have ended
		r.program = filepath.Base(path)
	}
}

// programName returns the name of the program that runs.
func (r *router) programName() string {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.program
}

// String names the router and its program.
func (r *router) String() string { return routerName(r.index, r.programName()) }

// routerName names a router and its program.
func routerName(index int, program string) string {
	if program == "" {
		return fmt.Sprintf("router %d", index)
	}
	return fmt.Sprintf("router %d of %s", index, program)
}

// crashed tells how processes ended that were not told to.
func (r *router) crashed() []string {
	r.mu.Lock()
	defer r.mu.Unlock()
	return slices.Clone(r.crashes)
}

// wait waits for the end of the process and returns its exit code, and false
// when it still runs after the limit.
func (r *router) wait(limit time.Duration) (int, bool) {
	r.mu.Lock()
	ended := r.ended
	r.mu.Unlock()
	select {
	case <-ended:
		r.mu.Lock()
		defer r.mu.Unlock()
		return r.code, true
	case <-time.After(limit):
		return 0, false
	}
}

// running reports whether the process runs.
func (r *router) running() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	select {
	case <-r.ended:
		return false
	default:
		return true
	}
}

// restart starts the process again, unless it runs and was not told to end.
func (r *router) restart() error {
	r.restarting.Lock()
	defer r.restarting.Unlock()
	r.mu.Lock()
	ending := r.ending
	r.mu.Unlock()
	if r.running() {
		if !ending {
			return nil
		}
		r.signal(syscall.SIGCONT)
		if _, ok := r.wait(stopLimit); !ok {
			r.kill()
		}
	}
	return r.start()
}

// kill ends the process.
func (r *router) kill() {
	r.signal(syscall.SIGKILL)
	_, _ = r.wait(killLimit)
}

// killLimit is the time that a killed process gets to go.
const killLimit = 5 * time.Second

// write stores the settings and opens the log below a directory.
func (r *router) write(dir, text string) error {
	r.settings = filepath.Join(dir, fmt.Sprintf("router-%d.toml", r.index))
	if err := os.WriteFile(r.settings, []byte(text), 0o600); err != nil {
		return fmt.Errorf("write settings: %w", err)
	}
	log, err := os.OpenFile(filepath.Join(dir, fmt.Sprintf("router-%d.log", r.index)), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return fmt.Errorf("open log: %w", err)
	}
	r.log = log
	return nil
}
