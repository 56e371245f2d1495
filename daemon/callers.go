package daemon

import (
	"fmt"
	"sync"
	"time"

	"go.uber.org/zap"

	"woaddoor/contract"
)

// callerMetrics returns the metrics of what callers make the process hold.
func (v *vmProcess) callerMetrics() []string {
	p := v.callers.Pressure()
	return []string{
		fmt.Sprintf("caller_memory_bytes %d", p.Memory.Used),
		fmt.Sprintf("caller_memory_peak_bytes %d", p.Memory.Peak),
		fmt.Sprintf("caller_memory_limit_bytes %d", p.Memory.Total),
		fmt.Sprintf("caller_memory_holders %d", p.Memory.Holders),
		fmt.Sprintf("caller_memory_largest_bytes{workspace=%q} %d", string(p.Memory.Largest), p.Memory.LargestUsed),
		fmt.Sprintf("caller_memory_denied_total %d", p.Memory.Denied),
		fmt.Sprintf("caller_memory_evicted_total %d", p.Memory.Evicted),
		fmt.Sprintf("caller_connections_limit %d", p.ConnLimit),
		fmt.Sprintf("caller_connections_stalled_total %d", p.ConnsStalled),
	}
}

// maxRefusalLines is how many refused requests are logged in a second. The next line that is logged carries the number
// of those that were not.
const maxRefusalLines = 50

// refusalLog logs requests that are refused before they reach the relay.
type refusalLog struct {
	log *zap.Logger

	// mu guards the fields below: the second that began last, and the refusals in it and left out so far.
	mu              sync.Mutex
	second          time.Time
	logged, omitted int
}

// record logs a refused request, unless there were too many within a second.
func (l *refusalLog) record(id contract.RequestID, status int, why string, now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if now.Sub(l.second) >= time.Second {
		l.second, l.logged = now, 0
	}
	if l.logged++; l.logged > maxRefusalLines {
		l.omitted++
		return
	}
	fields := []zap.Field{zap.String("request", string(id)), zap.Int("status", status), zap.String("why", why)}
	if l.omitted > 0 {
		fields = append(fields, zap.Int("omitted", l.omitted))
		l.omitted = 0
	}
	l.log.Info("turned-away", fields...)
}
