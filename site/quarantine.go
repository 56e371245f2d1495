package site

import (
	"context"
	"errors"

	"go.uber.org/zap"

	"woaddoor/contract"
	"woaddoor/logs"
	"woaddoor/quarantine"
)

// QuarantineStore writes quarantined request contents to the store,
// where they survive a power loss of all VMs at once.
type QuarantineStore interface {
	// PutQuarantined adds a request content. PutQuarantined leaves an existing object unchanged.
	PutQuarantined(ctx context.Context, content quarantine.QuarantinedContent) error
	// ReplaceQuarantined replaces a request content if its object still has the known revision.
	ReplaceQuarantined(ctx context.Context, content quarantine.QuarantinedContent) error
	// CountTrial counts one more trial
	// (a send that checks whether the content still crashes upstreams) of a request content
	// if its object still has the known revision, so that only one VM gets the trial.
	CountTrial(ctx context.Context, content quarantine.QuarantinedContent) error
	// DeleteQuarantined removes a request content.
	DeleteQuarantined(ctx context.Context, fingerprint quarantine.Fingerprint) error
}

// States of a quarantined request content in write keys and logs.
const (
	stateQuarantined = "held"
	stateSuspected   = "suspected"
	stateConfirmed   = "confirmed"
	stateCleared     = "cleared"
)

// applyQuarantined applies the quarantined request contents in the store to the relay.
func (s *Site) applyQuarantined(c Changes[quarantine.QuarantinedContent], full bool) {
	var contents []quarantine.QuarantinedContent
	stored := make(map[quarantine.Fingerprint]bool, len(c.Items))
	for _, i := range c.Items {
		fingerprint, err := quarantine.ParseFingerprint(i.Name)
		switch {
		case err != nil, !i.Deleted && i.Err != nil:
			continue // the follower logs the decoding error
		case i.Deleted:
			s.opts.Relay.RemoveQuarantined(fingerprint, i.Revision)
		default:
			stored[fingerprint] = true
			content := i.Value
			content.Revision = i.Revision
			contents = append(contents, content)
		}
	}
	if s.quarantineReturned(c.Revision) {
		s.opts.Relay.ReplaceQuarantined(contents, c.Revision)
		return
	}
	for _, content := range contents {
		s.opts.Relay.SetQuarantined(content)
	}
	if !full {
		return
	}
	for _, fingerprint := range s.opts.Relay.QuarantinedExcept(stored) { // a request content stored after the list was made has a later revision
		s.opts.Relay.RemoveQuarantined(fingerprint, c.Revision)
	}
}

// quarantineReturned records the era of quarantined contents, and reports whether
// the store has returned from an older copy since the known ones.
func (s *Site) quarantineReturned(revision contract.Revision) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.quarantineEra.begin(revision.Era())
}

// syncQuarantine writes changes of quarantined request contents to the store until ctx ends.
// syncQuarantine runs in its own loop
// because calls to a slow store would delay the verdicts on releases.
func (s *Site) syncQuarantine(ctx context.Context) {
	pending := make(map[writeKey]*pendingWrite)
	runPeriodically(ctx, s.writeQuarantines, func() { s.writeQuarantineUpdates(ctx, pending) })
}

// WriteQuarantined makes the site look at once for quarantined content to write to the store.
// WriteQuarantined does not block.
func (s *Site) WriteQuarantined() { trigger(s.writeQuarantines) }

// writeQuarantineUpdates writes changes of quarantined request contents once
// this VM's write delay has passed. Trials of a quarantined content are claimed without a delay.
// The VM that observed the first crash writes a quarantined content without a delay too:
// until it is written, a loss of all VMs releases the content. The same holds for suspected content, so
// that its crashes need not be observed once more.
func (s *Site) writeQuarantineUpdates(ctx context.Context, pending map[writeKey]*pendingWrite) {
	changes := s.opts.Relay.QuarantineUpdates()
	for _, content := range changes.Add {
		s.writeAsObserver(pending, content, stateQuarantined, func() error { return s.opts.QuarantineStore.PutQuarantined(ctx, content) })
	}
	for _, content := range changes.Suspects {
		s.writeAsObserver(pending, content, stateSuspected, func() error { return s.opts.QuarantineStore.PutQuarantined(ctx, content) })
	}
	for _, content := range changes.Confirm {
		s.writeAsObserver(pending, content, stateConfirmed, func() error { return s.opts.QuarantineStore.ReplaceQuarantined(ctx, content) })
	}
	for _, content := range changes.Remove {
		if s.mayWrite(pending, writeKey{content.Fingerprint.String(), stateCleared, content.Revision.Era()}, s.opts.Now()) {
			s.logQuarantineWrite(content, stateCleared, s.opts.QuarantineStore.DeleteQuarantined(ctx, content.Fingerprint))
		}
	}
	for _, content := range changes.Trials {
		err := s.opts.QuarantineStore.CountTrial(ctx, content)
		s.opts.Relay.SetTrialGranted(content.Fingerprint, err == nil)
		if err != nil && !errors.Is(err, ErrConflict) {
			s.log.Warn("held-trial-failed", append(logs.ErrorFields(err), zap.Stringer("print", content.Fingerprint))...)
		}
	}
}

// writeAsObserver writes a state of a request content: at once if this VM has observed its first crash, and
// after this VM's write delay otherwise.
func (s *Site) writeAsObserver(pending map[writeKey]*pendingWrite, content quarantine.QuarantinedContent, state string, write func() error) {
	key := writeKey{content.Fingerprint.String(), state, content.Revision.Era()}
	if _, waiting := pending[key]; !waiting && content.ObservedBy == s.opts.VM {
		pending[key] = &pendingWrite{due: s.opts.Now()}
	}
	if s.mayWrite(pending, key, s.opts.Now()) {
		s.logQuarantineWrite(content, state, write())
	}
}

// logQuarantineWrite logs the outcome of a write.
func (s *Site) logQuarantineWrite(content quarantine.QuarantinedContent, state string, err error) {
	fields := []zap.Field{zap.Stringer("print", content.Fingerprint), zap.String("state", state), zap.String("part", content.Part), zap.String("route", content.Route), zap.String("workspace", string(content.Workspace))}
	if err != nil {
		s.log.Warn("held-note-failed", append(fields, logs.ErrorFields(err)...)...)
		return
	}
	s.log.Info("held-noted", fields...)
}
