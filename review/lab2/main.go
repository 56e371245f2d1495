// Lab2 starts the real program of the deploy file with stand-ins on loopback, for the scripts of the review, cases 6 and on.
package main

import (
	"fmt"
	"os"
)

// Exit codes of a case.
const (
	held   = 0
	broken = 1
	noRun  = 2
)

// cases maps the name of a case to what it does: it returns whether the rule was broken.
var cases = map[string]func(d *deployment, trouble bool) (bool, error){
	"surplus-refusal": surplusRefusal,
	"own-refusal":     ownRefusal,
	"config-number":   configNumber,
}

func main() { os.Exit(run()) }

func run() int {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Println("usage: lab2 CASE RECORD")
		return noRun
	}
	root, err := findRoot()
	if err != nil {
		fmt.Println(err)
		return noRun
	}
	rec, err := newRecord(os.Args[2])
	if err != nil {
		fmt.Println(err)
		return noRun
	}
	defer rec.close()
	dir, err := os.MkdirTemp("", "lab2-")
	if err != nil {
		fmt.Println(err)
		return noRun
	}
	if os.Getenv("KEEP") == "" {
		defer os.RemoveAll(dir)
	} else {
		fmt.Println(dir)
	}
	d, err := newDeployment(rec, root, dir)
	if err != nil {
		fmt.Println(err)
		return noRun
	}
	defer d.stop()
	wasBroken, err := cases[os.Args[1]](d, os.Getenv("TROUBLE") != "0")
	switch {
	case err != nil:
		rec.note("the case could not run: %v", err)
		return noRun
	case wasBroken:
		return broken
	}
	return held
}
