//go:build review

package main

import (
	"fmt"
	"os"
	"time"
)

// Exit codes of a script.
const (
	held      = 0
	broken    = 1
	couldNot  = 2
	readyTime = 20 * time.Second
)

// cases are the scripts by name. Each reports whether the rule was broken.
var cases = map[string]func(b *bed, trouble bool) (bool, error){
	"restarted-version": restartedVersion,
	"lost-origins":      lostOrigins,
	"lost-quarantine":   lostQuarantine,
	"deadly-bursts":     deadlyBursts,
	"herd-kill":         herdKill,
	"deadly-part":       deadlyPart,
	"deadly-query":      deadlyQuery,
}

func main() {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: drive CASE RECORD")
		os.Exit(couldNot)
	}
	b, err := newBed(os.Args[2])
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(couldNot)
	}
	limit := time.AfterFunc(110*time.Second, func() {
		fmt.Fprintln(os.Stderr, "the case takes too long")
		b.close()
		os.Exit(couldNot)
	})
	isBroken, err := cases[os.Args[1]](b, os.Getenv("TROUBLE") != "0")
	limit.Stop()
	if err != nil {
		b.record.line("the case could not run: %v", err)
		b.close()
		fmt.Fprintln(os.Stderr, err)
		os.Exit(couldNot)
	}
	b.record.line("the rule was broken: %t", isBroken)
	b.close()
	if isBroken {
		os.Exit(broken)
	}
	os.Exit(held)
}
