package site

import (
	"time"

	"go.uber.org/zap"

	"woaddoor/contract"
	"woaddoor/route"
)

// configName is the object name of the current configuration.
const configName = "main"

// unreadConfiguration is a configuration of the store that cannot be put in force, because it cannot be read.
type unreadConfiguration struct {
	revision        contract.Revision
	err             error
	since, loggedAt time.Time
}

// unreadLogInterval is the interval of the log lines that a configuration is not in force.
const unreadLogInterval = 10 * time.Second

// applyTable puts a configuration from the store in force
// if that configuration is newer than the current one.
func (s *Site) applyTable(c Changes[*route.Table], _ bool) {
	for _, i := range c.Items {
		if i.Name != configName || i.Deleted {
			continue
		}
		s.recordConfiguration(i)
		if i.Err == nil {
			s.setTable(i.Value, "store")
		}
	}
}

// recordConfiguration records whether the newest configuration of the store can be read.
func (s *Site) recordConfiguration(i Item[*route.Table]) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.unreadConfig = nil
	if i.Err != nil {
		s.unreadConfig = &unreadConfiguration{revision: i.Revision, err: i.Err, since: s.opts.Now()}
		s.logUnreadConfiguration()
	}
}

// logUnreadConfiguration logs, each unreadLogInterval, that the newest configuration is not in force. The caller holds mu.
func (s *Site) logUnreadConfiguration() {
	u, now := s.unreadConfig, s.opts.Now()
	if u == nil || !u.loggedAt.IsZero() && now.Sub(u.loggedAt) < unreadLogInterval {
		return
	}
	u.loggedAt = now
	version := int64(0)
	if t := s.table.Load(); t != nil {
		version = t.Version
	}
	s.log.Error("configuration-not-in-force", zap.Stringer("revision", u.revision), zap.Int64("version_in_force", version),
		zap.Duration("for", now.Sub(u.since).Round(time.Millisecond)), zap.Error(u.err))
}

// UnreadConfigurationAge returns for how long the newest configuration of the store has not been in force because it cannot
// be read, or zero if it can be.
func (s *Site) UnreadConfigurationAge() time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.unreadConfig == nil {
		return 0
	}
	return max(s.opts.Now().Sub(s.unreadConfig.since), time.Millisecond)
}

// setTable puts a configuration in force unless the current one has the same or a later version.
// Stale reads, late responses and peers that lag behind therefore change nothing. The operator's
// version decides and not the revision, because a store that has returned from an older copy
// holds an older version under a later revision until the operator has written again.
func (s *Site) setTable(t *route.Table, from string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	old := s.table.Load()
	if old != nil && old.Version >= t.Version {
		if old.Version > t.Version {
			s.log.Warn("configuration-kept", zap.Int64("version", old.Version), zap.Stringer("revision", old.Revision),
				zap.Int64("older_version", t.Version), zap.Stringer("older_revision", t.Revision), zap.String("from", from))
		}
		return
	}
	s.table.Store(t)
	s.log.Info("configuration", zap.Int64("version", t.Version), zap.Stringer("revision", t.Revision),
		zap.String("from", from), zap.Int("routes", t.CountRoutes()), zap.Int("unreadable_parts", len(t.Unreadable)))
	for _, part := range t.Unreadable {
		s.log.Error("configuration-part-unreadable", zap.Int64("version", t.Version), zap.String("part", part))
	}
	s.pushUpstreams()
	s.signalIfReady()
}
