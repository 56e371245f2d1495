// Command woaddoor-vm routes requests on a VM of the users' platform.
package main

import (
	"os"

	"woaddoor/daemon"
)

func main() { os.Exit(daemon.VM(os.Args[1:])) }
