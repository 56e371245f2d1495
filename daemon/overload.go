package daemon

import (
	"context"
	"fmt"
	"math"
	"sync"
	"syscall"
	"time"

	"github.com/rcrowley/go-metrics"
	"go.uber.org/zap"

	"woaddoor/logs"
	"woaddoor/overload"
	"woaddoor/settings"
)

// resourceInterval is the time between two readings of the resources that the process uses.
const resourceInterval = 100 * time.Millisecond

// resourceWatch follows what the process uses of its machine.
type resourceWatch struct {
	meter    *overload.Meter
	shortage overload.Shortage
	limiter  overload.Limiter
	shuts    int // how often the limit had been reached at the last reading
	// firstRead holds how long, in milliseconds, connections waited until something was read from them.
	firstRead metrics.Histogram

	// mu guards use, the latest, limit, the number of requests that may run, or 0, and total, the time for which
	// the VM has been short of a resource.
	mu    sync.Mutex
	use   overload.Use
	limit int
	total time.Duration
}

// Parameters of the exponentially decaying sample of firstRead.
const (
	firstReadSamples = 256
	firstReadAlpha   = 0.015
)

func newResourceWatch(m settings.Machine) *resourceWatch {
	const bitsPerByte, bitsPerMegabit = 8, 1e6
	return &resourceWatch{
		meter:     overload.NewMeter(overload.Machine{Cores: m.CPUCores, LinkBytesPerSecond: m.LinkMbps * bitsPerMegabit / bitsPerByte}),
		firstRead: metrics.NewHistogram(metrics.NewExpDecaySample(firstReadSamples, firstReadAlpha)),
	}
}

// watchResources reads what the process uses until ctx ends.
func (v *vmProcess) watchResources(ctx context.Context) {
	for planned := time.Now().Add(resourceInterval); ; {
		select {
		case <-ctx.Done():
			return
		case <-time.After(time.Until(planned)):
		}
		now := time.Now()
		v.recordResources(now, now.Sub(planned))
		planned = now.Add(resourceInterval)
	}
}

// recordResources takes a reading, limits the requests of callers, and logs when a shortage begins or ends.
func (v *vmProcess) recordResources(now time.Time, late time.Duration) {
	used, err := processorTime()
	if err != nil {
		v.log.Warn("processor-time-unknown", logs.ErrorFields(err)...)
		return
	}
	w := v.resources
	use := w.meter.Add(overload.Reading{At: now, Processor: used, LinkBytes: v.callers.Bytes.Load(), Running: v.callers.BusyConns(), Late: late})
	shuts, _ := v.callers.ShutTotals()
	turnsAway := shuts != w.shuts || v.callers.Limited()
	limits := w.limiter.Limit(use, v.peers.OthersUse(), turnsAway, now)
	w.shuts = shuts
	v.callers.SetLimit(limits.Now, limits.Stale)
	most, _ := use.Most()
	v.peers.SetUse(percent(most), use.IsShort() || turnsAway)
	event := w.shortage.Add(use, turnsAway, now)
	w.mu.Lock()
	w.use, w.limit = use, limits.Now
	if event == overload.Ends {
		w.total += now.Sub(w.shortage.Began)
	}
	w.mu.Unlock()
	switch event {
	case overload.Begins:
		v.log.Warn("short", v.resourceFields(use)...)
	case overload.Ends:
		v.log.Info("short-ends", append(v.resourceFields(use), zap.Int64("lasted_ms", now.Sub(w.shortage.Began).Milliseconds()), zap.Int("peak_percent", percent(w.shortage.Peak)))...)
	}
}

// resourceFields returns the log fields that tell what the VM is short of and what it has taken on.
func (v *vmProcess) resourceFields(u overload.Use) []zap.Field {
	shuts, shut := v.callers.ShutTotals()
	others := v.peers.OthersUse()
	return []zap.Field{
		zap.Stringer("of", v.resources.shortage.Resource), zap.Int("processor_percent", percent(u.Processor)), zap.Int("link_percent", percent(u.Link)),
		zap.Int64("late_ms", u.Late.Milliseconds()), zap.Int("running", v.callers.BusyConns()), zap.Int("connections", v.callers.OpenConns()),
		zap.Int64("accepted", v.callers.AcceptedConns.Load()), zap.Int64("turned_away", v.callers.RejectedConns.Load()),
		zap.Int("limit", v.resources.currentLimit()), zap.Int("shuts", shuts), zap.Int64("shut_ms", shut.Milliseconds()),
		zap.Int("others", others.VMs), zap.Int("others_percent", percent(others.Use)), zap.Int("others_short", others.Short),
	}
}

// currentLimit returns how many requests of callers may run, or 0 if there is no limit.
func (w *resourceWatch) currentLimit() int {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.limit
}

// percent returns a share in whole percent.
func percent(share float64) int { return int(math.Round(100 * share)) }

// processorTime returns the processor time that the process has used.
func processorTime() (time.Duration, error) {
	var u syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &u); err != nil {
		return 0, err
	}
	return time.Duration(u.Utime.Nano() + u.Stime.Nano()), nil
}

// resourceMetrics returns the metrics of what the process uses of its machine.
func (v *vmProcess) resourceMetrics() []string {
	w := v.resources
	shuts, shut := v.callers.ShutTotals()
	w.mu.Lock()
	defer w.mu.Unlock()
	return []string{
		fmt.Sprintf("requests_limit %d", w.limit),
		fmt.Sprintf("caller_entry_shuts_total %d", shuts),
		fmt.Sprintf("caller_entry_shut_milliseconds_total %d", shut.Milliseconds()),
		fmt.Sprintf("processor_use_percent %d", percent(w.use.Processor)),
		fmt.Sprintf("link_use_percent %d", percent(w.use.Link)),
		fmt.Sprintf("processor_delay_milliseconds %d", w.use.Late.Milliseconds()),
		fmt.Sprintf("short_milliseconds_total %d", w.total.Milliseconds()),
		fmt.Sprintf("requests_running %d", v.callers.BusyConns()),
		fmt.Sprintf("caller_connections_accepted_total %d", v.callers.AcceptedConns.Load()),
	}
}
