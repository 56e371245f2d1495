// Command woaddoor is the operator's command-line tool: it applies configuration files,
// withdraws versions, and analyses metrics and logs.
package main

import (
	"os"

	"woaddoor/command"
)

func main() { os.Exit(command.Run(os.Args[1:], os.Stdout, os.Stderr)) }
