//go:build review2

package main

import (
	"fmt"
	"os"
	"path/filepath"
	"time"
)

// Exit codes of a case.
const (
	held   = 0
	broken = 1
	failed = 2
)

// cases are the cases by name. Each returns an exit code.
var cases = map[string]func(s *site, trouble bool) (int, error){
	"order":  playOrder,
	"gone":   playGone,
	"drain":  playDrain,
	"crowd":  playCrowd,
	"bodies": playBodies,
}

func main() { os.Exit(run()) }

func run() int {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: review-2 CASE FOLDER")
		return failed
	}
	out, err := os.Create(filepath.Join(os.Args[2], "record.txt"))
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return failed
	}
	defer out.Close()
	record := &recorder{out: out, began: time.Now()}
	s, err := newSite(record)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return failed
	}
	defer s.close()
	code, err := cases[os.Args[1]](s, os.Getenv("TROUBLE") != "0")
	if err != nil {
		record.printf("the case could not run: %v", err)
		fmt.Fprintln(os.Stderr, err)
		return failed
	}
	return code
}
