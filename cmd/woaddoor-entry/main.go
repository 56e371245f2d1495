// Command woaddoor-entry receives callers' requests on an entry VM and routes them to
// upstreams.
package main

import (
	"os"

	"woaddoor/daemon"
)

func main() { os.Exit(daemon.Entry(os.Args[1:])) }
