// Command woaddoor-control synchronizes an entry VM with the platform: it watches the
// configuration, reports the status of the VMs, files bill records and steps rollouts.
package main

import (
	"os"

	"woaddoor/daemon"
)

func main() { os.Exit(daemon.Control(os.Args[1:])) }
