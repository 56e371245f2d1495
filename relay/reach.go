package relay

import (
	"context"
	"time"

	"go.uber.org/zap"

	"woaddoor/clock"
	"woaddoor/contract"
	"woaddoor/exchange"
	"woaddoor/logs"
	"woaddoor/upstream"
)

// Timings of reachability.
const (
	// reachEvery is how often data centres that look cut off are tried: often
	// enough for one to be known as back within that, and each try is a
	// connection to an upstream, which is paid for.
	reachEvery = 250 * time.Millisecond
	// aloneFor is how long a VM has to be cut off before it says so: one lost
	// packet is not a cut.
	aloneFor = 500 * time.Millisecond
)

// Reach keeps what is known of data centres that look cut off fresh until ctx
// ends, so that no request has to find out.
func (r *Relay) Reach(ctx context.Context) {
	for ctx.Err() == nil {
		clock.Pause(ctx, reachEvery)
		var away map[contract.DataCentreID]string
		r.locked(func() { away = r.table.Away(r.opts.Now(), r.random) })
		for dc, address := range away {
			go r.reach(ctx, dc, address)
		}
		r.note()
	}
}

// reach tries a data centre by one of its upstreams.
func (r *Relay) reach(ctx context.Context, dc contract.DataCentreID, address string) {
	err := exchange.Reach(ctx, address)
	ok := err == nil || exchange.NothingListens(err)
	r.locked(func() { r.table.Reached(dc, ok, r.opts.Now()) })
	if ok {
		r.log.Info("data-centre-reached", zap.String("data_centre", string(dc)), zap.String("by", address))
		return
	}
	r.log.Debug("data-centre-away", append(logs.Failure(err), zap.String("data_centre", string(dc)))...)
}

// doubt has the data centre of an upstream that has fallen silent tried.
func (r *Relay) doubt(e upstream.Entry) {
	if e.DataCentre != r.opts.DataCentre {
		r.locked(func() { r.table.Doubt(e.DataCentre) })
	}
}

// note looks whether this VM is cut off, and logs when that changes.
func (r *Relay) note() {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := r.opts.Now()
	var without contract.ServiceID
	for id := range r.releases {
		if r.cutOff(id, now) {
			without = id
		}
	}
	switch {
	case without == "" && !r.alone.IsZero():
		r.log.Info("cut-off-ends", zap.Duration("after", now.Sub(r.alone).Round(time.Millisecond)))
		r.alone = time.Time{}
	case without != "" && r.alone.IsZero():
		r.log.Warn("cut-off", zap.String("service", string(without)), zap.Int("upstreams", len(r.entries)))
		r.alone = now
	}
}

// cutOff tells whether no upstream of a service can be reached since all other
// data centres are cut off. Those of the own one count as gone while it is evacuated:
// an operator's word holds also where nothing else is left, and a VM that is not ready
// sends callers to where they are served. The caller holds mu.
func (r *Relay) cutOff(s contract.ServiceID, now time.Time) bool {
	return r.table.CutOff(r.opts.DataCentre, r.open(all(r.releases[s], r.undone[s]), 0, now), now)
}

// CutOff tells whether this VM has been cut off for a while from all upstreams of
// a service: callers are better served by a VM that reaches some.
func (r *Relay) CutOff() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return !r.alone.IsZero() && r.opts.Now().Sub(r.alone) >= aloneFor
}
