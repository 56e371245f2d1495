//go:build review

// Command lab plays the cases of the review: it starts the machines of the system as processes, with stand-ins of
// callers, upstreams and the platform's store on loopback addresses, and tells whether a rule was broken.
package main

import (
	"fmt"
	"os"
)

// Exit codes of a case.
const (
	held     = 0
	broken   = 1
	couldNot = 2
)

// cases are the cases by name. Each returns whether its rule was broken.
var cases = map[string]func(r *record, trouble bool) (bool, error){}

func main() {
	if len(os.Args) == 3 && os.Args[1] == replicaProcess {
		os.Exit(runReplica(os.Args[2]))
	}
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: lab CASE RECORD, in the repository's root; TROUBLE=0 leaves out the disruption")
		os.Exit(couldNot)
	}
	os.Exit(run(cases[os.Args[1]], os.Args[2]))
}

func run(play func(*record, bool) (bool, error), path string) int {
	r, err := newRecord(path)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return couldNot
	}
	defer r.close()
	wasBroken, err := play(r, os.Getenv("TROUBLE") != "0")
	switch {
	case err != nil:
		r.say("could not run: %v", err)
		return couldNot
	case wasBroken:
		r.say("the rule was broken")
		return broken
	}
	r.say("the rule held")
	return held
}
