// Package crowdtest starts routers as processes and checks that their memory and their
// descriptors stay bounded whatever crowds of clients send and however they read.
//
// The tests check no times and no share of served requests. They run one at a time.
package crowdtest

import (
	"bytes"
	"context"
	"fmt"
	"math/rand/v2"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

const (
	// machineMB is the memory of the machine, and machineDescriptors the descriptors, that
	// the routers of these tests have. The bounds are these figures.
	machineMB          = 96
	machineDescriptors = 600
	// collectorMB is the goal of the garbage collector of a router that does not know
	// process.memory_mb, in the ratio of the deployed settings (150 of 184 MB).
	collectorMB = 78
	// bodyLimit is the largest body in bytes.
	bodyLimit = 1 << 20
	// readyLimit and answerLimit end a test whose router does not get ready, or hangs.
	readyLimit  = 20 * time.Second
	answerLimit = 20 * time.Second
	pollPeriod  = 20 * time.Millisecond
)

// binaries is the directory with the programs under test.
var binaries string

func TestMain(m *testing.M) {
	os.Exit(func() int {
		dir, err := os.MkdirTemp("", "crowdtest")
		if err != nil {
			fmt.Fprintln(os.Stderr, err)
			return 1
		}
		defer os.RemoveAll(dir)
		build := exec.Command("go", "build", "-o", dir+"/", "../../cmd/zf-router", "../../cmd/zf-standin")
		if out, err := build.CombinedOutput(); err != nil {
			fmt.Fprintf(os.Stderr, "build: %v\n%s", err, out)
			return 1
		}
		binaries = dir
		return m.Run()
	}())
}

// network returns the first three parts of loopback addresses that are this test's own.
func network() string {
	return fmt.Sprintf("127.%d.%d", 180+rand.IntN(60), 1+rand.IntN(250))
}

// process is a program that a test has started.
type process struct {
	cmd   *exec.Cmd
	log   string
	ended chan struct{}
}

// start starts a program that is ended with the test.
func start(t *testing.T, program string, args ...string) *process {
	t.Helper()
	p := &process{log: filepath.Join(t.TempDir(), program+".log"), ended: make(chan struct{})}
	log, err := os.Create(p.log)
	must.NoError(t, err)
	p.cmd = exec.CommandContext(context.WithoutCancel(t.Context()), filepath.Join(binaries, program), args...)
	p.cmd.Stdout, p.cmd.Stderr = log, log
	p.cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	must.NoError(t, p.cmd.Start())
	go func() {
		_ = p.cmd.Wait() // the test reports an early end
		_ = log.Close()
		close(p.ended)
	}()
	t.Cleanup(func() {
		_ = p.cmd.Process.Kill()
		<-p.ended
		if t.Failed() {
			t.Logf("end of the log of %s:\n%s", program, p.tail())
		}
	})
	return p
}

// tailBytes is the length of the end of a log that a failed test shows.
const tailBytes = 3000

// tail returns the end of the log.
func (p *process) tail() string {
	data, err := os.ReadFile(p.log)
	if err != nil {
		return err.Error()
	}
	return string(data[max(0, len(data)-tailBytes):])
}

// alive reports whether the process runs.
func (p *process) alive() bool {
	select {
	case <-p.ended:
		return false
	default:
		return true
	}
}

// writeSettings stores the settings of a router and returns their path. text has one %s in
// the section [process], for the limits of the machine. A router that does not know all of
// them gets the goal of the collector alone.
func writeSettings(t *testing.T, text string) string {
	t.Helper()
	path := filepath.Join(t.TempDir(), "router.toml")
	limits := fmt.Sprintf("memory_mb = %d\nmax_descriptors = %d", machineMB, machineDescriptors)
	must.NoError(t, os.WriteFile(path, fmt.Appendf(nil, text, limits), 0o600))
	out, err := exec.CommandContext(t.Context(), filepath.Join(binaries, "zf-router"), "--check", path).CombinedOutput()
	if err == nil {
		return path
	}
	must.True(t, bytes.Contains(out, []byte("memory_mb")) || bytes.Contains(out, []byte("max_descriptors")), must.Sprint(string(out)))
	limits = fmt.Sprintf("memory_limit_mb = %d", collectorMB)
	must.NoError(t, os.WriteFile(path, fmt.Appendf(nil, text, limits), 0o600))
	return path
}

// poll repeats a check until it holds.
func poll(t *testing.T, what string, limit time.Duration, holds func() bool) {
	t.Helper()
	for end := time.Now().Add(limit); !holds(); time.Sleep(pollPeriod) {
		must.True(t, time.Now().Before(end), must.Sprintf("%s within %v", what, limit))
	}
}

// unread counts what the sockets of a process hold: bytes received and not read, and bytes
// sent and not acknowledged.
func unread(inodes map[string]bool) int64 {
	var sum int64
	for _, file := range []string{"/proc/net/tcp", "/proc/net/tcp6"} {
		data, err := os.ReadFile(file)
		if err != nil {
			continue
		}
		for line := range strings.Lines(string(data)) {
			fields := strings.Fields(line)
			if len(fields) < 10 || !inodes[fields[9]] {
				continue
			}
			var sent, received int64
			if fields[3] == listenState {
				continue // its queue counts connections
			}
			if _, err := fmt.Sscanf(fields[4], "%X:%X", &sent, &received); err == nil {
				sum += sent + received
			}
		}
	}
	return sum
}

// listenState is the state of a listening socket in /proc/net/tcp.
const listenState = "0A"
