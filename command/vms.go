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

// vmsCmd prints a table with one row of metrics for each VM.
type vmsCmd struct {
	Addresses []string `arg:"" help:"Metrics addresses of VMs, each IP:PORT."`
}

// vmRow is the row of one VM: its metrics by name, or the error of fetching the metrics.
type vmRow struct {
	Address string            `json:"address"`
	Error   string            `json:"error,omitempty"`
	Metrics map[string]string `json:"metrics,omitempty"`
}

// vmMetricsTimeout is the timeout for fetching the metrics of one VM.
const vmMetricsTimeout = 2 * time.Second

// vmColumns lists the columns of the table: their titles and their metrics.
var vmColumns = []struct{ title, metric string }{
	{"CONFIG", "configuration_version"}, {"AGE ms", "configuration_age_milliseconds"}, {"UPSTREAMS", "upstreams"}, {"COLD", "upstreams_cold"}, {"RESTING", "upstreams_resting"}, {"LEAVING", "upstreams_say_leaving"}, {"LIMITED", "upstreams_limited"}, {"EVACUATED", "evacuations"},
	{"LIST ms", "upstreams_age_milliseconds"}, {"WATCHES", "watches"}, {"HOLDS", "lease_mine"}, {"LEASE ms", "lease_age_milliseconds"}, {"PLACE", "vm_place"}, {"LEAVES", "vm_leaves"},
	{"NEAR", "vms_live_near"}, {"SILENT", "vms_silent_near"}, {"VMS", "vms"}, {"REQUESTS", "requests_total"}, {"REFUSED", "requests_refused_total"},
	{"CUT", "streams_cut_total"}, {"RETRIES", "retries_total"}, {"BUDGET", "retry_budget_left_ratio"}, {"CONNS", "connections_open"},
}

// Run fetches the metrics of all VMs concurrently and prints the table. A VM that
// does not answer gets a row with the error.
func (c *vmsCmd) Run(s *invocation) error {
	rows := make([]vmRow, len(c.Addresses))
	var wg sync.WaitGroup
	for i, address := range c.Addresses {
		wg.Add(1)
		go func() {
			defer wg.Done()
			rows[i] = fetchVMMetrics(s.ctx, address)
		}()
	}
	wg.Wait()
	if s.json {
		return json.NewEncoder(s.out).Encode(rows)
	}
	w := tabwriter.NewWriter(s.out, 0, 0, 2, ' ', 0)
	fmt.Fprint(w, "VM")
	for _, col := range vmColumns {
		fmt.Fprint(w, "\t"+col.title)
	}
	for _, row := range rows {
		fmt.Fprint(w, "\n"+row.Address)
		if row.Error != "" {
			fmt.Fprint(w, "\t"+row.Error)
			continue
		}
		for _, col := range vmColumns {
			fmt.Fprint(w, "\t"+row.Metrics[col.metric])
		}
	}
	fmt.Fprintln(w)
	return w.Flush()
}

// fetchVMMetrics returns the row of the VM that serves metrics at address.
func fetchVMMetrics(ctx context.Context, address string) vmRow {
	row := vmRow{Address: address}
	ctx, cancel := context.WithTimeout(ctx, vmMetricsTimeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address+"/metrics", nil)
	if err != nil {
		row.Error = err.Error()
		return row
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		row.Error = err.Error()
		return row
	}
	defer resp.Body.Close()
	row.Metrics = make(map[string]string)
	scanner := bufio.NewScanner(resp.Body)
	for scanner.Scan() {
		if name, value, ok := strings.Cut(scanner.Text(), " "); ok {
			row.Metrics[name] = value
		}
	}
	if err := scanner.Err(); err != nil {
		row.Error = err.Error()
	}
	return row
}
