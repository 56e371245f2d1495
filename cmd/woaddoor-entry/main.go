// Command woaddoor-entry takes callers' requests on an entry VM.
package main

import (
	"os"

	"woaddoor/daemon"
)

func main() { os.Exit(daemon.Entry(os.Args[1:])) }
