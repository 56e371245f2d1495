package site

import (
	"context"
	"fmt"
	"runtime"
	"syscall"
	"testing"
	"time"

	"go.uber.org/zap"

	"woaddoor/contract"
	"woaddoor/keys"
	"woaddoor/link"
	"woaddoor/vm"
)

// startFleet starts Peers of VMs in several data centres within this process and returns
// them. Each VM knows at most three seeds at first. prepare may change the Peers of the
// nth VM before they run.
func startFleet(b testing.TB, ctx context.Context, dataCentres, perDataCentre int, prepare func(n int, p *Peers)) []*Peers {
	b.Helper()
	var selves []vm.Member
	var endpoints []*link.Endpoint
	for dc := range dataCentres {
		for n := range perDataCentre {
			name := fmt.Sprintf("vm-%d-%03d", dc, n)
			identity, err := keys.NewAddressIdentity(name, func(string) bool { return true })
			if err != nil {
				b.Fatal(err)
			}
			e, err := link.Listen("127.0.0.1:0", identity, link.ShareConnections)
			if err != nil {
				b.Fatal(err)
			}
			endpoints = append(endpoints, e)
			selves = append(selves, vm.Member{VM: contract.VMID(name), DataCentre: contract.DataCentreID(fmt.Sprint(dc)), Incarnation: 1, ControlAddress: e.Address()})
		}
	}
	var all []*Peers
	for i, e := range endpoints {
		var seeds []string
		for dc := range min(dataCentres, 3) {
			seeds = append(seeds, endpoints[dc*perDataCentre].Address())
		}
		p := NewPeers(&PeersOptions{Endpoint: e, Self: selves[i], Seeds: seeds, Log: zap.NewNop(), Now: time.Now})
		prepare(len(all), p)
		all = append(all, p)
		go p.Run(ctx)
	}
	return all
}

// BenchmarkIdleFleet measures the cost of VMs that only exchange heartbeats: CPU time,
// messages and bytes per VM and second, links, and memory. The figures include both ends
// of each link and the loopback interface.
func BenchmarkIdleFleet(b *testing.B) {
	for _, size := range []struct{ dataCentres, each int }{{3, 6}, {3, 20}, {5, 59}} {
		b.Run(fmt.Sprintf("%dx%d", size.dataCentres, size.each), func(b *testing.B) {
			ctx, cancel := context.WithCancel(b.Context())
			defer cancel()
			started := cpuTime(b)
			all := startFleet(b, ctx, size.dataCentres, size.each, func(int, *Peers) {})
			n := float64(len(all))
			for _, p := range all {
				for p.EstimatedVMs() < len(all) {
					time.Sleep(50 * time.Millisecond)
				}
			}
			time.Sleep(seedPeriod + 2*time.Second)
			b.ReportMetric((cpuTime(b)-started).Seconds()/n*1000, "start-cpu-ms/VM")
			dialed := int64(0)
			for _, p := range all {
				dialed += p.endpoint.DialCount()
			}
			b.ReportMetric(float64(dialed)/n, "links/VM")
			var memory runtime.MemStats
			runtime.GC()
			runtime.ReadMemStats(&memory)
			b.ReportMetric(float64(memory.HeapInuse+memory.StackInuse)/n/1e6, "MB/VM")
			sent := func() (messages, bytes int64) {
				for _, p := range all {
					for _, s := range p.endpoint.SentCounts() {
						messages += s.Messages
						bytes += s.Bytes
					}
				}
				return messages, bytes
			}
			messages, bytes := sent()
			before, from := cpuTime(b), time.Now()
			b.ResetTimer()
			for range b.N {
				time.Sleep(5 * time.Second)
			}
			b.StopTimer()
			took := time.Since(from).Seconds()
			messagesAfter, bytesAfter := sent()
			b.ReportMetric((cpuTime(b)-before).Seconds()/took/n*100, "%core/VM")
			b.ReportMetric(float64(messagesAfter-messages)/took/n, "messages/s/VM")
			b.ReportMetric(float64(bytesAfter-bytes)/took/n, "B/s/VM")
			cancel()
			for _, p := range all {
				_ = p.Close() // the benchmark is over
			}
		})
	}
}

// cpuTime returns the CPU time that this process has used.
func cpuTime(b *testing.B) time.Duration {
	b.Helper()
	var u syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &u); err != nil {
		b.Fatal(err)
	}
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}
