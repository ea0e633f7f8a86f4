package soak

import (
	"fmt"
	"net"
	"os"
	"os/exec"
	"strings"
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

// dialTarget is the variable that turns the test program into one that connects to an address
// and prints what came of it. It waits for dialWait, without end if that is empty.
const (
	dialTarget = "SOAK_TEST_DIAL"
	dialWait   = "SOAK_TEST_WAIT"
)

func TestMain(m *testing.M) {
	if to := os.Getenv(dialTarget); to != "" {
		wait, _ := time.ParseDuration(os.Getenv(dialWait)) // zero for no end
		c, err := (&net.Dialer{Timeout: wait}).Dial("tcp", to)
		if err == nil {
			fmt.Println(sourceOfLocal(c))
			_ = c.Close()
		} else {
			fmt.Println(err)
		}
		return
	}
	os.Exit(m.Run())
}

// sourceOfLocal returns the address from which a connection was opened.
func sourceOfLocal(c net.Conn) string { return c.LocalAddr().(*net.TCPAddr).IP.String() }

// dialAs connects to an address in a process of its own that has these paths.
func dialAs(t *testing.T, p *paths, to, wait string) string {
	t.Helper()
	var out strings.Builder
	reader, writer, err := os.Pipe()
	must.NoError(t, err)
	cmd := exec.Command(os.Args[0])
	cmd.Env = append(os.Environ(), "GORACE=atexit_sleep_ms=0", dialTarget+"="+to, dialWait+"="+wait)
	cmd.Stdout, cmd.Stderr = writer, writer
	listener, err := startWatched(cmd)
	must.NoError(t, err)
	must.NoError(t, writer.Close())
	served := make(chan error, 1)
	go func() { served <- serveConnects(listener, cmd.Process.Pid, p.connect) }()
	buf := make([]byte, 1024)
	for {
		n, err := reader.Read(buf)
		out.Write(buf[:n])
		if err != nil {
			break
		}
	}
	must.NoError(t, <-served)
	must.NoError(t, cmd.Wait())
	return out.String()
}

// TestOneProcessIsCutOff cuts one process off from workers: its connections are refused or hang,
// and come from its address before and after. Those of another process and to other servers are
// let through.
func TestOneProcessIsCutOff(t *testing.T) {
	link, _ := serverBehind(t)
	other, _ := serverBehind(t)
	workers := []*worker{{id: "w0", service: "llm", link: link}}
	cut, err := newPaths("127.0.0.21", workers)
	must.NoError(t, err)
	sound, err := newPaths("127.0.0.22", workers)
	must.NoError(t, err)
	to := link.listener.Addr().String()

	must.Eq(t, "127.0.0.21\n", dialAs(t, cut, to, ""))
	cut.cutOff(pathCut{fresh: Refuse, open: Pass}, "llm")
	must.StrContains(t, dialAs(t, cut, to, ""), "connection refused")
	must.Eq(t, "127.0.0.22\n", dialAs(t, sound, to, ""))
	must.Eq(t, "127.0.0.1\n", dialAs(t, cut, other.listener.Addr().String(), ""))
	cut.cutOff(pathCut{fresh: Silent, open: Pass}, "llm")
	must.StrContains(t, dialAs(t, cut, to, "50ms"), "i/o timeout")
	cut.heal("llm")
	must.Eq(t, "127.0.0.21\n", dialAs(t, cut, to, ""))
	cut.cutOff(pathCut{fresh: Refuse, open: Pass}, "plain")
	must.Eq(t, "127.0.0.21\n", dialAs(t, cut, to, ""), must.Sprint("another service"))
}
