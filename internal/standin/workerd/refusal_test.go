package workerd_test

import (
	"bufio"
	"context"
	"fmt"
	"net/http"
	"testing"

	"github.com/shoenig/test/must"

	"github.com/zinniafork/zinniafork/internal/httpserve"
	"github.com/zinniafork/zinniafork/internal/kernel/kerneltest"
	"github.com/zinniafork/zinniafork/internal/standin/workerd"
)

// TestRunAfterARepeatedRefusalIsNoSoundOne ends the fault between the refusal and the next request
// on its connection, which is a stream and gets a plain answer. The record must not show that
// as the run of a sound worker.
func TestRunAfterARepeatedRefusalIsNoSoundOne(t *testing.T) {
	network := kerneltest.NewNetwork()
	worker := workerd.New(workerd.Options{ID: "w", Slots: 4, Events: 6})
	server, err := httpserve.Start(context.Background(), network, "10.1.0.1:80", worker.Handler())
	must.NoError(t, err)
	defer func() { _ = server.Close() }()
	conn, err := network.DialContext(context.Background(), "tcp", "10.1.0.1:80")
	must.NoError(t, err)
	defer conn.Close()
	reader := bufio.NewReader(conn)
	send := func(id string) int {
		_, err := fmt.Fprintf(conn, "POST /chat/1 HTTP/1.1\r\nHost: a\r\nX-Request-Id: %s\r\nX-Prompt-Prefix: aa:10,bb:10\r\nContent-Length: 0\r\n\r\n", id)
		must.NoError(t, err)
		resp, err := http.ReadResponse(reader, nil)
		must.NoError(t, err)
		return resp.StatusCode
	}
	worker.Set(workerd.FaultRefusedTwice)
	must.Eq(t, 503, send("r1"))
	worker.Set(workerd.FaultNone)
	must.Eq(t, 503, send("r2"), must.Sprint("the refusal of r1 once more"))
	runs := worker.Runs()
	must.Len(t, 1, runs)
	must.Eq(t, workerd.FaultRefusedTwice, runs[0].Fault)
}
