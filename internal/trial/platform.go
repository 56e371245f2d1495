package main

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"syscall"
	"time"

	"woaddoor/internal/standin/objects"
	"woaddoor/internal/standin/replica"
)

// platformSetup is one woaddoor-vm with stand-ins for the store
// and an upstream of the users' platform.
type platformSetup struct {
	vm            *exec.Cmd
	callerAddress string
	upstream      *replica.Replica
	store         *http.Server
}

// workspaceKey is the key of the workspace whose requests this command (trial) sends.
const workspaceKey = "trial-key"

// startPlatform starts a stand-in store, an upstream and a woaddoor-vm, and receives one stream
// from the upstream through the woaddoor-vm.
func startPlatform(ctx context.Context, dir string) (*platformSetup, error) {
	p := &platformSetup{}
	if err := p.start(dir); err != nil {
		return p, err
	}
	ctx, cancel := context.WithTimeout(ctx, startTimeout)
	defer cancel()
	for ctx.Err() == nil {
		status, body, err := p.sendStream(ctx)
		if err == nil && status == http.StatusOK {
			fmt.Printf("\nstream on the users' platform: status %d\n%s", status, body)
			fmt.Printf("Its log is %s; bin/woaddoor changes %[1]s lists the configuration changes in it.\n", filepath.Join(dir, "platform-vm.log"))
			return p, nil
		}
		time.Sleep(50 * time.Millisecond) // the VM may not have its configuration yet
	}
	return p, errors.New("the VM for the users' platform did not serve a request within the start timeout")
}

func (p *platformSetup) start(dir string) error {
	upstream, err := replica.Start("u1", func(c *replica.Conn, r *replica.Request) bool {
		c.BeginStream(r.ID())
		c.Event(1, "hello")
		c.Event(2, "from u1")
		c.EndStream()
		return true
	})
	if err != nil {
		return err
	}
	p.upstream = upstream
	store := objects.New()
	store.PutSample(objects.SampleDeployment{
		PathPrefix: "/chat/", MaxAttempts: 2, Resumable: true, Workspace: "norte", Key: workspaceKey, Address: upstream.Address(), DataCentre: "avellaneda",
	})
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return err
	}
	p.store = &http.Server{Handler: store}
	go func() { _ = p.store.Serve(listener) }() // returns when stop closes the server
	return p.startVM(dir, listener.Addr().String())
}

// startVM writes the VM's settings and starts its process.
func (p *platformSetup) startVM(dir, store string) error {
	var addresses [3]string
	for i := range addresses {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			return err
		}
		addresses[i] = l.Addr().String()
		defer l.Close()
	}
	p.callerAddress = addresses[0]
	settings := fmt.Sprintf("[vm]\nname = vm1\ndata-centre = avellaneda\n\n[listen]\ncallers = %s\nready = %s\nlinks = %s\n\n[store]\naddress = %s\n",
		addresses[0], addresses[1], addresses[2], store)
	path := filepath.Join(dir, "platform-vm.ini")
	if err := os.WriteFile(path, []byte(settings), 0o600); err != nil {
		return err
	}
	log, err := os.Create(filepath.Join(dir, "platform-vm.log"))
	if err != nil {
		return err
	}
	p.vm = exec.Command(filepath.Join("bin", "woaddoor-vm"), "run", "--settings", path)
	p.vm.Stdout, p.vm.Stderr = log, log
	return p.vm.Start()
}

func (p *platformSetup) sendStream(ctx context.Context) (int, string, error) {
	req, err := replica.NewCall(ctx, p.callerAddress, objects.SampleHost, "/chat/x", "1", workspaceKey, "hello")
	if err != nil {
		return 0, "", err
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return 0, "", err
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(resp.Body)
	return resp.StatusCode, string(body), err
}

// stop ends everything that startPlatform has started.
func (p *platformSetup) stop() {
	if p.vm != nil && p.vm.Process != nil {
		_ = p.vm.Process.Signal(syscall.SIGTERM) // fails if it has already exited
		_ = p.vm.Wait()
	}
	if p.store != nil {
		_ = p.store.Close()
	}
	if p.upstream != nil {
		p.upstream.Close()
	}
}
