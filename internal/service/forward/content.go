package forward

import (
	"fmt"

	"github.com/cespare/xxhash/v2"
)

// hashContent returns a hash of what identifies a request beyond its ID: method, host,
// URI, account and body. A caller's retries have the same one, whichever router they
// reach.
func (r *request) hashContent() uint64 {
	account := ""
	if r.account != nil {
		account = string(r.account.Name)
	}
	h := xxhash.New()
	for _, field := range []string{r.Method, r.Host, r.URI, account} {
		fmt.Fprintf(h, "%d:%s", len(field), field)
	}
	_, _ = h.Write(r.Body) // a hash takes any bytes
	return h.Sum64()
}
