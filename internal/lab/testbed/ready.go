package testbed

import (
	"context"
	"fmt"
	"net/http"
	"time"

	"github.com/zinniafork/zinniafork/internal/kernel"
)

const (
	readyLimit  = 15 * time.Second
	readyPeriod = 50 * time.Millisecond
)

// WaitReady waits until every router says that it is ready.
func (b *Testbed) WaitReady(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, readyLimit)
	defer cancel()
	client := &http.Client{Transport: &http.Transport{DialContext: b.fabric.Get(OperatorHost).DialContext}}
	defer client.CloseIdleConnections()
	for vm, address := range b.Addresses() {
		for !ready(ctx, client, address) {
			if err := (kernel.SystemClock{}).Sleep(ctx, readyPeriod); err != nil {
				return fmt.Errorf("wait until %s is ready: %w", vm, err)
			}
		}
	}
	return nil
}

func ready(ctx context.Context, client *http.Client, address string) bool {
	r, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address+"/readyz", nil)
	if err != nil {
		return false
	}
	resp, err := client.Do(r)
	if err != nil {
		return false
	}
	_ = resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}
