// Command trial starts a small fleet of the real programs on loopback, with stand-ins for external
// systems, applies a configuration, sends a chat, a stream and a plain call,
// and keeps running until it is interrupted.
package main

import (
	"context"
	"fmt"
	"net/http"
	"os"
	"os/signal"
	"path/filepath"
	"syscall"
	"time"

	"woaddoor/contract"
	"woaddoor/datacentre"
	"woaddoor/history"
	"woaddoor/internal/fleet"
	"woaddoor/internal/standin/engine"
)

const startTimeout = 30 * time.Second

func main() {
	if err := run(); err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
}

func run() error {
	dir, err := filepath.Abs("trial")
	if err != nil {
		return err
	}
	if err := os.MkdirAll(dir, 0o700); err != nil {
		return err
	}
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	f, err := fleet.Start(&fleet.Options{
		WorkDir: dir, BinDir: "bin", DataCentres: []contract.DataCentreID{"avellaneda", "palermo", "tigre"}, VMs: 2, Engines: 2,
		Engine: engine.Options{Versions: []contract.VersionID{"chat-small@1", "chat-small@2", "chat-large@1"}, TokenTime: 5 * time.Millisecond},
	})
	defer f.Stop()
	if err != nil {
		return err
	}
	if err := applyConfiguration(ctx, dir, f); err != nil {
		return err
	}
	p, err := startPlatform(ctx, dir)
	defer p.stop()
	if err != nil {
		return err
	}
	printHints(dir, f)
	<-ctx.Done()
	fmt.Println("stopping")
	stopAll(f)
	return nil
}

// applyConfiguration applies the first configuration, waits until the configuration is in force,
// and sends the first requests.
func applyConfiguration(ctx context.Context, dir string, f *fleet.Fleet) error {
	ctx, cancel := context.WithTimeout(ctx, startTimeout)
	defer cancel()
	file := filepath.Join(dir, "site.ini")
	text := f.Config("")
	if err := os.WriteFile(file, []byte(text), 0o600); err != nil {
		return err
	}
	operator := f.Operator()
	root, err := operator.Apply(ctx, file, []byte(text), -1, history.ChangeInfo{Author: "trial", Reason: "first configuration", At: time.Now()})
	if err != nil {
		return err
	}
	if _, err := operator.Wait(ctx, root, func(status datacentre.RevisionStatus) {
		fmt.Printf("revision %d: in force on %d VMs, pending on %d\n", status.Revision, len(status.InForce), len(status.Pending))
	}); err != nil {
		return err
	}
	if err := f.WaitUntilServing(ctx, "chat-small"); err != nil {
		return err
	}
	return sendRequests(ctx, f)
}

// requestCount is how many requests sendRequests sends. Before sendRequests runs,
// Fleet.WaitUntilServing has sent one request through each VM.
const requestCount = 3

func sendRequests(ctx context.Context, f *fleet.Fleet) error {
	show := func(what string, r fleet.Reply) {
		fmt.Printf("\n%s: status %d on VM %s, upstream %s, version %s\n%.300s\n", what, r.Status,
			r.Header.Get("Woaddoor-Vm"), r.Header.Get("Woaddoor-Upstream"), r.Header.Get("Woaddoor-Version"), r.Body)
	}
	chat, err := f.VMs[0].Chat(ctx, fleet.APIKeyNorte, "chat-small", "milk is out, what else?", "Woaddoor-Session", "new")
	if err != nil {
		return err
	}
	show("chat", chat)
	stream, err := f.VMs[2].Call(ctx, fleet.APIKeyMbio, http.MethodPost, "/v1/chat/completions", fleet.ChatBody("chat-large", "review this run", 4, true))
	if err != nil {
		return err
	}
	show("stream", stream)
	plain, err := f.VMs[4].Call(ctx, fleet.APIKeyMbio, http.MethodGet, "/services/boards/scores", "")
	if err != nil {
		return err
	}
	show("plain call", plain)
	return showBills(ctx, f)
}

// showBills waits until all requests are filed,
// and prints the bills and the latest changes of the configuration.
func showBills(ctx context.Context, f *fleet.Fleet) error {
	operator := f.Operator()
	if err := fleet.WaitFor(ctx, func() bool {
		sums, err := operator.Bills(ctx)
		filed := 0
		for _, sum := range sums {
			filed += sum.Requests
		}
		return err == nil && filed == len(f.VMs)+requestCount
	}); err != nil {
		return err
	}
	sums, err := operator.Bills(ctx)
	if err != nil {
		return err
	}
	fmt.Println()
	for _, s := range sums {
		fmt.Printf("bill of %s: %d requests, %d millionths\n", s.Workspace, s.Requests, s.Amount)
	}
	changes, err := operator.History(ctx, 5)
	if err != nil {
		return err
	}
	for _, c := range changes {
		fmt.Printf("audit: revision %d by %s: %s (%d sections)\n", c.ToRevision, c.Author, c.Reason, len(c.Sections))
	}
	return nil
}

func printHints(dir string, f *fleet.Fleet) {
	fmt.Printf("\nThe fleet is up. Try:\n")
	fmt.Printf("  export WOADDOOR_PLATFORM=%s\n", f.OperatorURL)
	fmt.Printf("  bin/woaddoor status; bin/woaddoor history; bin/woaddoor bill; bin/woaddoor show\n")
	fmt.Printf("  curl -s %s/v1/chat/completions -H 'Authorization: Bearer %s' -d '%s'\n", f.VMs[1].APIURL, fleet.APIKeyNorte, fleet.ChatBody("chat-small", "hello", 8, false))
	fmt.Printf("  bin/woaddoor withdraw chat-small@1 --why trial\n")
	fmt.Printf("  kill -9 %d   # the control process of %s; requests are still served\n", f.VMs[1].Control.PID(), f.VMs[1].Name)
	fmt.Printf("Logs and settings are in %s. Interrupt once to stop.\n", dir)
}

// stopAll shuts down every process and waits until it has exited.
func stopAll(f *fleet.Fleet) {
	for _, vm := range f.VMs {
		vm.Entry.Terminate()
	}
	for _, vm := range f.VMs {
		<-vm.Entry.Done()
		vm.Control.Terminate()
	}
	for _, vm := range f.VMs {
		<-vm.Control.Done()
	}
}
