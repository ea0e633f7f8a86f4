package forward

import (
	"fmt"
	"strings"

	"github.com/cespare/xxhash/v2"
)

// hashContent returns a hash of what identifies a request beyond its ID: method, host,
// URI, account and body. A caller's retries have the same one, whichever router they
// reach.
func (r *request) hashContent() uint64 { return r.hashFields(r.Method, r.URI) }

// hashResource returns a hash of host, path, account and body: what remains the same where a
// caller tells its retries apart by method or query.
func (r *request) hashResource() uint64 {
	path, _, _ := strings.Cut(r.URI, "?")
	return r.hashFields("", path)
}

func (r *request) hashFields(method, uri string) uint64 {
	account := ""
	if r.account != nil {
		account = string(r.account.Name)
	}
	h := xxhash.New()
	for _, field := range []string{method, r.Host, uri, account} {
		fmt.Fprintf(h, "%d:%s", len(field), field)
	}
	_, _ = h.Write(r.Body) // a hash takes any bytes
	return h.Sum64()
}
