// Command woaddoor-control keeps an entry VM in step with the platform.
package main

import (
	"os"

	"woaddoor/daemon"
)

func main() { os.Exit(daemon.Control(os.Args[1:])) }
