// Command zfctl is the operators' command line.
package main

import (
	"github.com/zinniafork/zinniafork/internal/cli"
	"github.com/zinniafork/zinniafork/internal/zfctl"
)

func main() {
	cli.Main("zfctl", zfctl.Description, new(zfctl.Command), zfctl.Complete)
}
