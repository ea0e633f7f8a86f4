package main

import (
	"context"
	"fmt"
	"net/http"

	"github.com/zinniafork/zinniafork/internal/httpserve"
	"github.com/zinniafork/zinniafork/internal/kernel"
	"github.com/zinniafork/zinniafork/internal/standin/fault"
)

// commonFlags are those of every stand-in that is served alone.
type commonFlags struct {
	Listen string     `help:"Address to listen on." default:"127.0.0.1:0"`
	Seed   uint64     `help:"Seed of random choices." default:"1"`
	Faults fault.Plan `embed:"" prefix:"fault-"`
}

// standin is one stand-in, ready to be served.
type standin struct {
	service http.Handler
	// admin serves what is particular to the stand-in, nil for nothing.
	admin   http.Handler
	records func() any
}

// start serves a stand-in on address.
func (f *commonFlags) start(ctx context.Context, address string, s standin) (*httpserve.Server, error) {
	injector := fault.New(f.Seed)
	injector.Set(f.Faults)
	mux := http.NewServeMux()
	mux.Handle("/", injector.Serve(s.service, s.records))
	if s.admin != nil {
		for _, path := range []string{"/admin/cold", "/admin/warm", "/admin/orders", "/admin/vms/"} {
			mux.Handle(path, s.admin)
		}
	}
	return httpserve.Start(ctx, injector.Network(kernel.SystemNetwork{}), address, mux)
}

// run serves a stand-in until a signal arrives.
func (f *commonFlags) run(ctx context.Context, s standin) error {
	server, err := f.start(ctx, f.Listen, s)
	if err != nil {
		return err
	}
	fmt.Println(server.URL())
	<-ctx.Done()
	return server.Close()
}
