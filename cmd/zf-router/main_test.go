package main

import (
	"bufio"
	"fmt"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"syscall"
	"testing"

	"github.com/shoenig/test/must"
)

// childVariable is set in the environment of a process that is to be a router.
const childVariable = "ZF_ROUTER_TEST_CHILD"

func TestMain(m *testing.M) {
	if os.Getenv(childVariable) != "" {
		main()
		return
	}
	os.Exit(m.Run())
}

// drainingSettings are those of a router without a site, which takes the whole drain.
const drainingSettings = `
[process]
stack = "site"
drain_limit = "7s"
[vm]
name = "a"
data_centre = "dc1"
site = "s"
peer_addr = "%[1]s"
caller_addr = "127.0.0.1:1"
[peer]
listen = "%[1]s"
[site]
seeds = ["%[1]s"]
[site_source]
address = "127.0.0.1:1"
[ingress]
listen = "127.0.0.1:0"
ready = "127.0.0.1:0"
directory = "127.0.0.1:0"
[metrics]
listen = "127.0.0.1:0"
`

// TestHangUpWhileDraining sends SIGHUP to a router that drains: it must not end before
// its requests have.
func TestHangUpWhileDraining(t *testing.T) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	must.NoError(t, err)
	peer := ln.Addr().String()
	must.NoError(t, ln.Close())
	file := filepath.Join(t.TempDir(), "router.toml")
	must.NoError(t, os.WriteFile(file, fmt.Appendf(nil, drainingSettings, peer), 0o600))
	executable, err := os.Executable()
	must.NoError(t, err)
	cmd := exec.Command(executable, file)
	cmd.Env = append(os.Environ(), childVariable+"=1")
	out, err := cmd.StdoutPipe()
	must.NoError(t, err)
	must.NoError(t, cmd.Start())
	t.Cleanup(func() { _ = cmd.Process.Kill() })
	lines := bufio.NewScanner(out)
	await := func(text string) {
		for lines.Scan() {
			if strings.Contains(lines.Text(), text) {
				return
			}
		}
		t.Fatalf("the router ended before it said %q", text)
	}
	await("Accepting callers' connections.")
	must.NoError(t, cmd.Process.Signal(syscall.SIGTERM))
	await("Router is draining.")
	must.NoError(t, cmd.Process.Signal(syscall.SIGHUP))
	await("Settings were read again.")
	for lines.Scan() { // what follows until the end
	}
	must.NoError(t, cmd.Wait())
}
