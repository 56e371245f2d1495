// Package daemon starts the daemons woaddoor-entry, woaddoor-control and woaddoor-vm
// from their settings and stops them on a signal.
package daemon

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"syscall"

	"github.com/alecthomas/kong"
	"go.uber.org/zap"

	"woaddoor/clock"
	"woaddoor/control"
	"woaddoor/entry"
	"woaddoor/keys"
	"woaddoor/logs"
	"woaddoor/settings"
	"woaddoor/store"
)

// Exit codes of the daemons.
const (
	exitOK       = 0
	exitFailed   = 1
	exitSettings = 2 // the settings or the keys are invalid
)

// daemonArguments are the command-line arguments of woaddoor-entry and woaddoor-control.
type daemonArguments struct {
	Settings string `arg:"" help:"The VM's settings file (INI), shared by both daemons." type:"path"`
	Check    bool   `help:"Check the settings and the keys, print every fault, and end."`
}

// server is the main component of a daemon. It runs until ctx ends.
type server interface {
	Run(ctx context.Context) error
}

// serverFactory creates the server of a daemon.
type serverFactory func(s *settings.Settings, set *keys.KeySet, log *zap.Logger) (server, error)

// Entry runs woaddoor-entry and returns its exit code.
func Entry(args []string) int {
	return run("woaddoor-entry", "Takes callers' requests on an entry VM.", args, func(s *settings.Settings, set *keys.KeySet, log *zap.Logger) (server, error) {
		return entry.New(&entry.Options{Settings: s, Keys: set, Clock: clock.NewSystem(), Log: log})
	})
}

// Control runs woaddoor-control and returns its exit code.
func Control(args []string) int {
	return run("woaddoor-control", "Synchronizes an entry VM with the platform: configuration, status, bill records and roll-outs.", args, func(s *settings.Settings, set *keys.KeySet, log *zap.Logger) (server, error) {
		client := store.NewClient(&store.Options{URL: s.Platform.URL})
		return control.New(&control.Options{Settings: s, Keys: set, Clock: clock.NewSystem(), Log: log, Store: client, VMs: client})
	})
}

// run parses the arguments, loads the settings and the keys,
// and runs the daemon. It returns the exit code.
func run(name, description string, args []string, newServer serverFactory) int {
	var a daemonArguments
	parser := kong.Must(&a, kong.Name(name), kong.Description(description), kong.UsageOnError())
	_, err := parser.Parse(args)
	parser.FatalIfErrorf(err)
	s, err := settings.Load(a.Settings)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitSettings
	}
	set, err := keys.Load(s.Keys.KeyPairFile, s.Keys.PinsFile, s.Keys.SigningKeyFile)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitSettings
	}
	if a.Check {
		fmt.Printf("%s: settings of %s are good\n", a.Settings, s)
		return exitOK
	}
	log := logs.New(os.Stderr, zap.String("process", name), zap.String("vm", string(s.VM)))
	return serve(s, set, log, newServer)
}

// serve runs the daemon until SIGTERM or SIGINT. Further signals are logged and have
// no effect: repeating the signal does not make a planned shutdown abort requests.
func serve(s *settings.Settings, set *keys.KeySet, log *zap.Logger, newServer serverFactory) int {
	server, err := newServer(s, set, log)
	if err != nil {
		log.Error("start-failed", logs.ErrorFields(err)...)
		return exitFailed
	}
	ctx, stop := context.WithCancel(context.Background())
	defer stop()
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGTERM, os.Interrupt)
	go func() {
		for got := range signals {
			log.Info("signal", zap.String("signal", got.String()), zap.Bool("first", ctx.Err() == nil))
			stop()
		}
	}()
	if err := server.Run(ctx); err != nil {
		log.Error("stopped-with-error", logs.ErrorFields(err)...)
		return exitFailed
	}
	return exitOK
}
