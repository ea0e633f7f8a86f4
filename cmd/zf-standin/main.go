// Command zf-standin serves small fakes of the platform and of the targets,
// for trials and tests.
package main

import (
	"github.com/alecthomas/kong"

	"github.com/zinniafork/zinniafork/internal/cli"
)

type command struct {
	Log     logCommand       `cmd:"" help:"Serve the log service."`
	VMList  listCommand      `cmd:"" name:"vm-list" help:"Serve the VM list."`
	Engine  engineCommand    `cmd:"" help:"Serve a model engine."`
	Plain   plainCommand     `cmd:"" help:"Serve a worker of a plain service."`
	All     allCommand       `cmd:"" help:"Serve a whole platform with engines and workers."`
	Version kong.VersionFlag `help:"Print the version."`
}

func main() {
	cli.Main("zf-standin", "Serves small fakes of the platform and of the targets. Each prints its URL once it listens, "+
		"takes faults at PUT /admin/faults and POST /admin/silence, and shows what it ran at GET /admin/records.", &command{})
}
