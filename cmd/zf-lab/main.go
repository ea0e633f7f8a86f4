// Command zf-lab runs the demo and the experiments.
package main

import (
	"github.com/alecthomas/kong"

	"github.com/zinniafork/zinniafork/internal/cli"
)

type command struct {
	Demo     demoCommand      `cmd:"" help:"Run a small fleet in one process and send it work."`
	Run      runCommand       `cmd:"" help:"Run one experiment and judge it."`
	Suite    suiteCommand     `cmd:"" help:"Run many experiments and list their measures."`
	Compare  compareCommand   `cmd:"" help:"Run one experiment with several policies and seeds."`
	Report   reportCommand    `cmd:"" help:"Compare policies and write a page with plots, and CSV."`
	Load     loadCommand      `cmd:"" help:"Send a bounded load to routers on this machine."`
	Capacity capacityCommand  `cmd:"" help:"Measure slopes and print the capacity table."`
	Soak     soakCommand      `cmd:"" help:"Run router processes under faults from outside and check what callers and workers see."`
	Explore  exploreCommand   `cmd:"" help:"Search the futures of the order journal for broken rules."`
	Version  kong.VersionFlag `help:"Print the version."`
}

func main() {
	cli.Main("zf-lab", "Runs small fleets in one process: demo, load and experiments.", &command{})
}
