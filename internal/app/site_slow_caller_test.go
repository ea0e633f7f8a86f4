package app

import (
	"io"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/zinniafork/zinniafork/internal/standin/siteclient"
)

// TestSlowCallerIsNoSilence lets a caller read the start of a response and then nothing
// for two seconds: the target was not silent, so that no other one gets the request.
func TestSlowCallerIsNoSilence(t *testing.T) {
	for _, route := range []string{"chat", "status"} {
		t.Run(route, func(t *testing.T) {
			onSite(t, func(t *testing.T, b *siteBed) {
				request := &siteclient.Request{ID: "slow", Host: "a.example", Route: route, Key: "key", Deadline: 5 * time.Second, Body: "body"}
				if route == "chat" {
					request.Prompt = []string{"aa", "bb", "cc"}
				}
				r, err := request.HTTP(t.Context(), "10.0.0.1:80")
				must.NoError(t, err)
				resp, err := b.client.Do(r)
				must.NoError(t, err)
				defer resp.Body.Close()
				b.wait(2 * time.Second)
				body, err := io.ReadAll(resp.Body)
				must.NoError(t, err)
				if route == "chat" {
					must.Eq(t, wholeStream(6), string(body))
				}
				must.Eq(t, 1, b.runs())
			})
		})
	}
}
