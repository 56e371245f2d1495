package site

import "time"

// confirmation records that the store has told a watcher
// that there are no changes which the watcher does not know.
//
// VMs pass confirmations on to each other with their age, and each message adds its own delay
// to the time that the receiver derives. A confirmation is therefore identified by its watcher
// and a sequence number, so that a confirmation that comes back counts as the one already known
// and not as a newer one.
type confirmation struct {
	by Watcher
	// sequence is the number of the store call, counted by the watcher from 1.
	// Zero means that there is no confirmation.
	sequence uint64
	// at is when the store confirmed, or later by the delays of the messages.
	at time.Time
}

// confirmationRetention is how long the last confirmation of a watcher is remembered.
// A confirmation is useless once it is older than every Timing.StaleAfter.
const confirmationRetention = time.Minute

// merge returns the newer of two confirmations of the same watcher.
// Of two reports of the same confirmation, the earlier time is closer to the truth.
func (c confirmation) merge(o confirmation) confirmation {
	switch {
	case o.sequence > c.sequence:
		return o
	case o.sequence == c.sequence && o.at.Before(c.at):
		return o
	}
	return c
}

// withConfirmations returns the status with the given confirmations.
func (s KindStatus) withConfirmations(newest, active confirmation, now time.Time) KindStatus {
	if active.sequence == 0 {
		active = newest
	}
	s.Age = now.Sub(newest.at)
	s.ActiveWatcher, s.ActiveWatcherAge, s.ActiveWatcherSequence = active.by, now.Sub(active.at), active.sequence
	if newest.by != active.by {
		s.ConfirmedBy, s.ConfirmedSequence = newest.by, newest.sequence
	}
	return s
}

// confirmations returns the newest confirmation that a status reports,
// and that of the active watcher. The status was received at now.
func (s KindStatus) confirmations(now time.Time) (newest, active confirmation) {
	active = confirmation{s.ActiveWatcher, s.ActiveWatcherSequence, now.Add(-s.ActiveWatcherAge)}
	if s.ConfirmedSequence == 0 {
		return active, active
	}
	return confirmation{s.ConfirmedBy, s.ConfirmedSequence, now.Add(-s.Age)}, active
}
