package zfctl

import (
	"context"
	"crypto/tls"
	"crypto/x509"
	"errors"
	"fmt"
	"net"
	"net/http"
	"net/url"
	"os"
	"path/filepath"
	"strings"
	"time"

	"github.com/zinniafork/zinniafork/internal/service/admin"
)

const (
	// dialLimit lets a router that is gone cost little before the next is
	// tried; callLimit is above the time that a publication may take.
	dialLimit = 2 * time.Second
	callLimit = 40 * time.Second
	// keyVariable holds the key where there is no file.
	keyVariable = "ZF_KEY"
)

// connection calls the first router that answers.
type connection struct {
	clients []*admin.Client
}

// unsentError is an error that arose before anything was sent.
type unsentError struct {
	error
}

// Unwrap returns the error beneath.
func (e *unsentError) Unwrap() error { return e.error }

// connect prepares calls to the routers that the flags name.
func (g *Globals) connect() (*connection, error) {
	c, err := g.prepare()
	if err != nil {
		return nil, &unsentError{err}
	}
	return c, nil
}

func (g *Globals) prepare() (*connection, error) {
	if len(g.Router) == 0 {
		return nil, errors.New("no router is named\n  next: set --router or ZF_ROUTERS to a URL such as http://10.1.1.5:7003")
	}
	key, err := g.key()
	if err != nil {
		return nil, err
	}
	client, err := g.httpClient()
	if err != nil {
		return nil, err
	}
	out := new(connection)
	for _, base := range g.Router {
		u, err := url.Parse(base)
		if err != nil || u.Host == "" {
			return nil, fmt.Errorf("router %q is not a URL\n  next: write it as http://HOST:PORT or https://HOST:PORT", base)
		}
		out.clients = append(out.clients, admin.NewClient(base, key, client))
	}
	return out, nil
}

func (g *Globals) key() (string, error) {
	if key := os.Getenv(keyVariable); key != "" && g.KeyFile == "" {
		return key, nil
	}
	if g.KeyFile == "" {
		return "", errors.New("no key is given\n  next: set --key-file or ZF_KEY_FILE to the file that holds your key")
	}
	data, err := os.ReadFile(filepath.Clean(g.KeyFile))
	if err != nil {
		return "", fmt.Errorf("read key: %w", err)
	}
	return strings.TrimSpace(string(data)), nil
}

func (g *Globals) httpClient() (*http.Client, error) {
	transport := &http.Transport{
		DialContext:         (&net.Dialer{Timeout: dialLimit}).DialContext,
		TLSHandshakeTimeout: dialLimit,
	}
	if g.CAFile != "" {
		pem, err := os.ReadFile(filepath.Clean(g.CAFile))
		if err != nil {
			return nil, fmt.Errorf("read certificates: %w", err)
		}
		pool := x509.NewCertPool()
		if !pool.AppendCertsFromPEM(pem) {
			return nil, fmt.Errorf("file %s holds no PEM certificates", g.CAFile)
		}
		transport.TLSClientConfig = &tls.Config{MinVersion: tls.VersionTLS12, RootCAs: pool}
	}
	return &http.Client{Transport: transport, Timeout: callLimit}, nil
}

// get asks the routers in turn until one answers.
func (c *connection) get(ctx context.Context, path string, query, out any) error {
	return c.try(func(r *admin.Client) error { return r.Get(ctx, path, query, out) }, answered)
}

// post sends a change to the first router that can be reached. A call that may
// have arrived is not sent to another one.
func (c *connection) post(ctx context.Context, path string, in, out any) error {
	return c.try(func(r *admin.Client) error { return r.Post(ctx, path, in, out) }, arrived)
}

func (c *connection) try(call func(*admin.Client) error, final func(error) bool) error {
	var errs []error
	seen := make(map[string]bool)
	for _, r := range c.clients {
		err := call(r)
		if err == nil || final(err) {
			return err
		}
		if !seen[err.Error()] {
			seen[err.Error()] = true
			errs = append(errs, err)
		}
	}
	if len(errs) > 0 && !arrived(errs[len(errs)-1]) {
		errs = append(errs, errors.New("  next: name a router that runs with --router or ZF_ROUTERS"))
	}
	return errors.Join(errs...)
}

// answered reports whether a router gave an answer that another one would
// give too.
func answered(err error) bool {
	var e *admin.Error
	return errors.As(err, &e) && e.Code != admin.CodeUnavailable && e.Code != admin.CodeNotFound
}

// arrived reports whether the call may have reached a router.
func arrived(err error) bool {
	var unsent *unsentError
	if errors.As(err, &unsent) {
		return false
	}
	var dial *net.OpError
	return !errors.As(err, &dial) || dial.Op != "dial"
}

// outcomeUnknown adds what to do next to the error of a change that may have been carried out,
// since the connection to the router was lost, and the exit code. The word of a router stays as it
// is.
func outcomeUnknown(err error, dryRun bool, next string) error {
	var e *admin.Error
	if dryRun || errors.As(err, &e) || !arrived(err) {
		return err
	}
	return &codedError{fmt.Errorf("%w\n  next: %s", err, next), ExitPending}
}
