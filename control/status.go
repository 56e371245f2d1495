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

// Timings of the status object.
const (
	statusEvery   = 500 * time.Millisecond
	statusTimeout = 2 * time.Second
	// statusAtRest is how often it is written while nothing changes.
	statusAtRest = 10 * time.Second
)

// statusLoop has the first watcher of a data centre write which configuration
// its VMs have in force: one object a data centre, written when that changes.
func (s *Server) statusLoop(ctx context.Context) {
	w := statusWriter{store: s.store}
	for ctx.Err() == nil {
		clock.Pause(ctx, statusEvery)
		st, first := s.dataCentreStatus()
		if !first {
			continue
		}
		if err := w.write(ctx, st); err != nil {
			s.log.Warn("status-failed", logs.Failure(err)...)
		}
	}
}

// dataCentreStatus returns the status of this data centre, and whether this VM
// is the one to write it.
func (s *Server) dataCentreStatus() (datacentre.Status, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.clock.Now()
	s.table.SetSelf(s.self())
	st := datacentre.Status{DataCentre: s.opts.Settings.DataCentre, At: now}
	ranked := vm.Rank(s.table.Live(now), s.opts.Settings.DataCentre, datacentre.StatusKey)
	for _, m := range ranked {
		if m.EntryIncarnation == 0 {
			continue // no entry process: it gives no upstream any work
		}
		st.VMs = append(st.VMs, datacentre.VMStatus{VM: m.VM, Incarnation: m.EntryIncarnation, Revision: m.Revision, Leaving: m.Leaving})
	}
	slices.SortFunc(st.VMs, func(a, b datacentre.VMStatus) int {
		if a.VM < b.VM {
			return -1
		}
		return 1
	})
	return st, len(ranked) > 0 && ranked[0].VM == s.opts.Settings.VM
}

// statusWriter remembers what it wrote last, to write only changes.
type statusWriter struct {
	store   store.Store
	version contract.ObjectVersion
	last    datacentre.Status
}

func (w *statusWriter) write(ctx context.Context, st datacentre.Status) error {
	if slices.Equal(st.VMs, w.last.VMs) && st.At.Sub(w.last.At) < statusAtRest {
		return nil
	}
	value, err := json.Marshal(st)
	if err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(ctx, statusTimeout)
	defer cancel()
	name := datacentre.StatusName(st.DataCentre)
	version, err := w.store.Update(ctx, name, value, w.version)
	if errors.Is(err, store.ErrConflict) {
		version, err = w.takeOver(ctx, name, value)
	}
	if err != nil {
		w.version = 0
		return err
	}
	w.version, w.last = version, st
	return nil
}

// takeOver writes the object though another VM, or an own try whose reply was
// lost, wrote it last. Two writers in turn are harmless: each says what its
// data centre has in force.
func (w *statusWriter) takeOver(ctx context.Context, name string, value []byte) (contract.ObjectVersion, error) {
	o, err := w.store.Read(ctx, name)
	if errors.Is(err, store.ErrNotFound) {
		return w.store.Create(ctx, name, value)
	}
	if err != nil {
		return 0, err
	}
	return w.store.Update(ctx, name, value, o.Version)
}
