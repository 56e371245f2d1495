package command

import (
	"bufio"
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"strings"
	"sync"
	"text/tabwriter"
	"time"
)

// vmsCmd shows VMs by their metrics.
type vmsCmd struct {
	Addresses []string `arg:"" help:"Metrics addresses of VMs, each IP:PORT."`
}

// vmRow is what the table shows of a VM.
type vmRow struct {
	Address string            `json:"address"`
	Error   string            `json:"error,omitempty"`
	Metrics map[string]string `json:"metrics,omitempty"`
}

// vmMetricsTimeout bounds the question to one VM.
const vmMetricsTimeout = 2 * time.Second

// vmColumns are the metrics in the table and their titles.
var vmColumns = []struct{ title, metric string }{
	{"CONFIG", "configuration_version"}, {"AGE ms", "configuration_age_milliseconds"}, {"UPSTREAMS", "upstreams"}, {"COLD", "upstreams_cold"}, {"RESTING", "upstreams_resting"}, {"LEAVING", "upstreams_say_leaving"}, {"LIMITED", "upstreams_limited"}, {"EVACUATED", "evacuations"},
	{"LIST ms", "upstreams_age_milliseconds"}, {"WATCHES", "watches"}, {"HOLDS", "lease_mine"}, {"LEASE ms", "lease_age_milliseconds"}, {"PLACE", "vm_place"}, {"LEAVES", "vm_leaves"},
	{"NEAR", "vms_live_near"}, {"SILENT", "vms_silent_near"}, {"VMS", "vms"}, {"REQUESTS", "requests_total"}, {"REFUSED", "requests_refused_total"},
	{"CUT", "streams_cut_total"}, {"RETRIES", "retries_total"}, {"BUDGET", "retry_budget_left_ratio"}, {"CONNS", "connections_open"},
}

// Run runs the command. VMs that do not answer are shown as such.
func (c *vmsCmd) Run(s *invocation) error {
	lines := make([]vmRow, len(c.Addresses))
	var wg sync.WaitGroup
	for i, a := range c.Addresses {
		wg.Add(1)
		go func() {
			defer wg.Done()
			lines[i] = fetchVMMetrics(s.ctx, a)
		}()
	}
	wg.Wait()
	if s.json {
		return json.NewEncoder(s.out).Encode(lines)
	}
	w := tabwriter.NewWriter(s.out, 0, 0, 2, ' ', 0)
	fmt.Fprint(w, "VM")
	for _, col := range vmColumns {
		fmt.Fprint(w, "\t"+col.title)
	}
	for _, l := range lines {
		fmt.Fprint(w, "\n"+l.Address)
		if l.Error != "" {
			fmt.Fprint(w, "\t"+l.Error)
			continue
		}
		for _, col := range vmColumns {
			fmt.Fprint(w, "\t"+l.Metrics[col.metric])
		}
	}
	fmt.Fprintln(w)
	return w.Flush()
}

func fetchVMMetrics(ctx context.Context, address string) vmRow {
	l := vmRow{Address: address}
	ctx, cancel := context.WithTimeout(ctx, vmMetricsTimeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address+"/metrics", nil)
	if err != nil {
		l.Error = err.Error()
		return l
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		l.Error = err.Error()
		return l
	}
	defer resp.Body.Close()
	l.Metrics = make(map[string]string)
	scanner := bufio.NewScanner(resp.Body)
	for scanner.Scan() {
		if name, value, ok := strings.Cut(scanner.Text(), " "); ok {
			l.Metrics[name] = value
		}
	}
	if err := scanner.Err(); err != nil {
		l.Error = err.Error()
	}
	return l
}
