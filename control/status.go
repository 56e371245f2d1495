package control

import (
	"context"
	"encoding/json"
	"errors"
	"slices"
	"time"

	"woaddoor/clock"
	"woaddoor/contract"
	"woaddoor/datacentre"
	"woaddoor/logs"
	"woaddoor/store"
	"woaddoor/vm"
)

// Intervals and timeout for writing the status object of a data centre.
const (
	statusInterval = 500 * time.Millisecond
	statusTimeout  = 2 * time.Second
	// statusRefreshInterval is how often the status object is written while the content of the
	// status object does not change.
	statusRefreshInterval = 10 * time.Second
)

// statusLoop writes the status object of this data centre.
// The status object lists the configuration revision in force on each VM.
// Only the first-ranked VM of the data centre writes the status object, when its content changes or
// has to be refreshed.
func (s *Server) statusLoop(ctx context.Context) {
	w := statusWriter{store: s.store}
	for ctx.Err() == nil {
		clock.Sleep(ctx, statusInterval)
		status, isWriter := s.dataCentreStatus()
		if !isWriter {
			continue
		}
		if err := w.write(ctx, status); err != nil {
			s.log.Warn("status-failed", logs.ErrorFields(err)...)
		}
	}
}

// dataCentreStatus returns the status of this data centre, and whether this VM has to
// write the status to the platform's store.
func (s *Server) dataCentreStatus() (datacentre.Status, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.clock.Now()
	s.table.SetSelf(s.selfMember())
	status := datacentre.Status{DataCentre: s.opts.Settings.DataCentre, At: now}
	ranked := vm.Rank(s.table.Live(now), s.opts.Settings.DataCentre, datacentre.StatusRankKey)
	for _, m := range ranked {
		if m.EntryIncarnation == 0 {
			continue // without an entry process, the VM sends no requests to upstreams
		}
		status.VMs = append(status.VMs, datacentre.VMStatus{VM: m.VM, Incarnation: m.EntryIncarnation, Revision: m.Revision, Leaving: m.Leaving})
	}
	slices.SortFunc(status.VMs, func(a, b datacentre.VMStatus) int {
		if a.VM < b.VM {
			return -1
		}
		return 1
	})
	return status, len(ranked) > 0 && ranked[0].VM == s.opts.Settings.VM
}

// statusWriter writes a status object, and skips writes that would not change it.
type statusWriter struct {
	store       store.Store
	version     contract.ObjectVersion
	lastWritten datacentre.Status
}

// write stores the status of the data centre if the VMs in it changed, or if the stored status
// is older than statusRefreshInterval.
func (w *statusWriter) write(ctx context.Context, status datacentre.Status) error {
	if slices.Equal(status.VMs, w.lastWritten.VMs) && status.At.Sub(w.lastWritten.At) < statusRefreshInterval {
		return nil
	}
	value, err := json.Marshal(status)
	if err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(ctx, statusTimeout)
	defer cancel()
	name := datacentre.StatusName(status.DataCentre)
	version, err := w.store.Update(ctx, name, value, w.version)
	if errors.Is(err, store.ErrConflict) {
		version, err = w.overwrite(ctx, name, value)
	}
	if err != nil {
		w.version = 0
		return err
	}
	w.version, w.lastWritten = version, status
	return nil
}

// overwrite writes the status object when the stored object has another version than expected:
// another VM wrote the object, or this VM wrote it in a write whose reply was lost.
// Two VMs that write in turn do no harm, because both report the same data centre.
func (w *statusWriter) overwrite(ctx context.Context, name string, value []byte) (contract.ObjectVersion, error) {
	object, err := w.store.Read(ctx, name)
	if errors.Is(err, store.ErrNotFound) {
		return w.store.Create(ctx, name, value)
	}
	if err != nil {
		return 0, err
	}
	return w.store.Update(ctx, name, value, object.Version)
}
