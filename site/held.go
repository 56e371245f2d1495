package site

import (
	"context"
	"errors"

	"go.uber.org/zap"

	"woaddoor/clock"
	"woaddoor/logs"
	"woaddoor/quarantine"
)

// HeldNotes writes quarantined request contents to the store, where they survive a power
// loss of all VMs at once.
type HeldNotes interface {
	// PutHeld adds a request content. It leaves an existing object unchanged.
	PutHeld(ctx context.Context, h quarantine.Held) error
	// TryHeld counts one more trial of a request content if its object still has the
	// known revision, so that only one VM gets the trial.
	TryHeld(ctx context.Context, h quarantine.Held) error
	// DropHeld removes a request content.
	DropHeld(ctx context.Context, p quarantine.Print) error
}

// States of a quarantined request content in write keys and logs.
const (
	heldStateStored  = "held"
	heldStateCleared = "cleared"
)

// applyHeld applies the quarantined request contents in the store to the relay.
func (s *Site) applyHeld(c Changes[quarantine.Held], full bool) {
	stored := make(map[quarantine.Print]bool, len(c.Items))
	for _, i := range c.Items {
		p, err := quarantine.ParsePrint(i.Name)
		switch {
		case err != nil, !i.Deleted && i.Err != nil:
			continue // the follower logs it
		case i.Deleted:
			s.opts.Relay.Released(p, i.Revision)
		default:
			stored[p] = true
			h := i.Value
			h.Revision = i.Revision
			s.opts.Relay.SetHeld(h)
		}
	}
	if !full {
		return
	}
	for _, p := range s.opts.Relay.HeldButFor(stored) { // a request content stored after the list was made has a later revision
		s.opts.Relay.Released(p, c.Revision)
	}
}

// syncHeld writes changes of quarantined request contents to the store until ctx ends. It
// runs in its own loop because calls to a slow store would delay the verdicts on
// releases.
func (s *Site) syncHeld(ctx context.Context) {
	pending := make(map[writeKey]*pendingWrite)
	for ctx.Err() == nil {
		clock.Pause(ctx, tickInterval)
		s.writeHeldChanges(ctx, pending)
	}
}

// writeHeldChanges writes changes of quarantined request contents once this VM's write
// delay has passed. Trials are claimed without a delay.
func (s *Site) writeHeldChanges(ctx context.Context, pending map[writeKey]*pendingWrite) {
	changes := s.opts.Relay.HeldNotes()
	for _, h := range changes.Store {
		if s.mayWrite(pending, writeKey{h.Print.String(), heldStateStored}, s.opts.Now()) {
			s.logHeldWrite(h, heldStateStored, s.opts.HeldNotes.PutHeld(ctx, h))
		}
	}
	for _, h := range changes.Erase {
		if s.mayWrite(pending, writeKey{h.Print.String(), heldStateCleared}, s.opts.Now()) {
			s.logHeldWrite(h, heldStateCleared, s.opts.HeldNotes.DropHeld(ctx, h.Print))
		}
	}
	for _, h := range changes.Try {
		err := s.opts.HeldNotes.TryHeld(ctx, h)
		s.opts.Relay.Granted(h.Print, err == nil)
		if err != nil && !errors.Is(err, ErrConflict) {
			s.log.Warn("held-trial-failed", append(logs.Failure(err), zap.Stringer("print", h.Print))...)
		}
	}
}

// logHeldWrite logs the outcome of a write.
func (s *Site) logHeldWrite(h quarantine.Held, state string, err error) {
	fields := []zap.Field{zap.Stringer("print", h.Print), zap.String("state", state), zap.String("route", h.Route), zap.String("workspace", string(h.Workspace))}
	if err != nil {
		s.log.Warn("held-note-failed", append(fields, logs.Failure(err)...)...)
		return
	}
	s.log.Info("held-noted", fields...)
}
