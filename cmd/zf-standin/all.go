package main

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"os"
	"strconv"

	"github.com/zinniafork/zinniafork/internal/httpserve"
)

// Offsets of the ports of a whole platform from its first one.
const (
	portLog     = 0
	portVMList  = 1
	portEngines = 10
	portWorkers = 50
)

type allCommand struct {
	Host    string      `help:"Host to listen on." default:"127.0.0.1"`
	Port    int         `help:"First port: log, VM list; engines from 10 and workers from 50 behind it. 0 means any." default:"0"`
	Seed    uint64      `help:"Seed of random choices." default:"1"`
	Engines int         `help:"Number of engines, up to 40." default:"2"`
	Workers int         `help:"Number of workers." default:"1"`
	Log     logFlags    `embed:"" prefix:"log-"`
	List    listFlags   `embed:"" prefix:"list-"`
	Engine  engineFlags `embed:"" prefix:"engine-"`
	Worker  plainFlags  `embed:"" prefix:"worker-"`
}

// addresses is what the command prints once everything listens.
type addresses struct {
	Log     string   `json:"log"`
	VMList  string   `json:"vm_list"`
	Engines []string `json:"engines"`
	Workers []string `json:"workers"`
}

// Run serves the platform until a signal arrives.
func (c *allCommand) Run(ctx context.Context) (err error) {
	var servers []*httpserve.Server
	defer func() {
		for _, s := range servers {
			err = errors.Join(err, s.Close())
		}
	}()
	var failed error
	start := func(offset int, s standin) string {
		if failed != nil {
			return ""
		}
		flags := commonFlags{Seed: c.Seed + uint64(offset)}
		var server *httpserve.Server
		if server, failed = flags.start(ctx, c.address(offset), s); failed != nil {
			return ""
		}
		servers = append(servers, server)
		return server.URL()
	}
	log, err := c.Log.build()
	if err != nil {
		return err
	}
	list, err := c.List.build()
	if err != nil {
		return err
	}
	out := addresses{
		Log:    start(portLog, log),
		VMList: start(portVMList, list),
	}
	for i := range c.Engines {
		s := c.Engine.build(fmt.Sprintf("engine-%d", i+1), c.Seed+uint64(i))
		out.Engines = append(out.Engines, start(portEngines+i, s))
	}
	for i := range c.Workers {
		s := c.Worker.build(fmt.Sprintf("worker-%d", i+1))
		out.Workers = append(out.Workers, start(portWorkers+i, s))
	}
	if failed != nil {
		return failed
	}
	if err := json.NewEncoder(os.Stdout).Encode(out); err != nil {
		return err
	}
	<-ctx.Done()
	return nil
}

func (c *allCommand) address(offset int) string {
	port := 0
	if c.Port != 0 {
		port = c.Port + offset
	}
	return net.JoinHostPort(c.Host, strconv.Itoa(port))
}
