// Command woaddoor-vm receives and routes requests on a VM of the users' platform, as the
// only process of the VM.
package main

import (
	"os"

	"woaddoor/daemon"
)

func main() { os.Exit(daemon.VM(os.Args[1:])) }
