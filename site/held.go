package site

import (
	"context"
	"errors"

	"go.uber.org/zap"

	"woaddoor/clock"
	"woaddoor/logs"
	"woaddoor/quarantine"
)

// QuarantineStore writes quarantined request contents to the store, where they survive a power
// loss of all VMs at once.
type QuarantineStore interface {
	// PutQuarantined adds a request content. It leaves an existing object unchanged.
	PutQuarantined(ctx context.Context, h quarantine.QuarantinedContent) error
	// CountTrial counts one more trial of a request content if its object still has the
	// known revision, so that only one VM gets the trial.
	CountTrial(ctx context.Context, h quarantine.QuarantinedContent) error
	// DeleteQuarantined removes a request content.
	DeleteQuarantined(ctx context.Context, p quarantine.Fingerprint) error
}

// States of a quarantined request content in write keys and logs.
const (
	heldStateStored  = "held"
	heldStateCleared = "cleared"
)

// applyHeld applies the quarantined request contents in the store to the relay.
func (s *Site) applyHeld(c Changes[quarantine.QuarantinedContent], full bool) {
	stored := make(map[quarantine.Fingerprint]bool, len(c.Items))
	for _, i := range c.Items {
		p, err := quarantine.ParseFingerprint(i.Name)
		switch {
		case err != nil, !i.Deleted && i.Err != nil:
			continue // the follower logs it
		case i.Deleted:
			s.opts.Relay.RemoveQuarantined(p, i.Revision)
		default:
			stored[p] = true
			h := i.Value
			h.Revision = i.Revision
			s.opts.Relay.SetQuarantined(h)
		}
	}
	if !full {
		return
	}
	for _, p := range s.opts.Relay.QuarantinedExcept(stored) { // a request content stored after the list was made has a later revision
		s.opts.Relay.RemoveQuarantined(p, c.Revision)
	}
}

// syncHeld writes changes of quarantined request contents to the store until ctx ends. It
// runs in its own loop because calls to a slow store would delay the verdicts on
// releases.
func (s *Site) syncHeld(ctx context.Context) {
	pending := make(map[writeKey]*pendingWrite)
	for ctx.Err() == nil {
		clock.Sleep(ctx, tickInterval)
		s.writeHeldChanges(ctx, pending)
	}
}

// writeHeldChanges writes changes of quarantined request contents once this VM's write
// delay has passed. Trials are claimed without a delay.
func (s *Site) writeHeldChanges(ctx context.Context, pending map[writeKey]*pendingWrite) {
	changes := s.opts.Relay.QuarantineUpdates()
	for _, h := range changes.Add {
		if s.mayWrite(pending, writeKey{h.Fingerprint.String(), heldStateStored}, s.opts.Now()) {
			s.logHeldWrite(h, heldStateStored, s.opts.QuarantineStore.PutQuarantined(ctx, h))
		}
	}
	for _, h := range changes.Remove {
		if s.mayWrite(pending, writeKey{h.Fingerprint.String(), heldStateCleared}, s.opts.Now()) {
			s.logHeldWrite(h, heldStateCleared, s.opts.QuarantineStore.DeleteQuarantined(ctx, h.Fingerprint))
		}
	}
	for _, h := range changes.Trials {
		err := s.opts.QuarantineStore.CountTrial(ctx, h)
		s.opts.Relay.SetTrialGranted(h.Fingerprint, err == nil)
		if err != nil && !errors.Is(err, ErrConflict) {
			s.log.Warn("held-trial-failed", append(logs.ErrorFields(err), zap.Stringer("print", h.Fingerprint))...)
		}
	}
}

// logHeldWrite logs the outcome of a write.
func (s *Site) logHeldWrite(h quarantine.QuarantinedContent, state string, err error) {
	fields := []zap.Field{zap.Stringer("print", h.Fingerprint), zap.String("state", state), zap.String("route", h.Route), zap.String("workspace", string(h.Workspace))}
	if err != nil {
		s.log.Warn("held-note-failed", append(fields, logs.ErrorFields(err)...)...)
		return
	}
	s.log.Info("held-noted", fields...)
}
