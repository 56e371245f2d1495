// Command woaddoor is the operator's tool.
package main

import (
	"os"

	"woaddoor/command"
)

func main() { os.Exit(command.Run(os.Args[1:], os.Stdout, os.Stderr)) }
