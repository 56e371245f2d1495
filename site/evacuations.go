package site

import (
	"maps"
	"slices"
	"time"

	"go.uber.org/zap"

	"woaddoor/contract"
)

// Evacuation stops new requests to the upstreams of a data centre
// until the object of the evacuation is deleted.
type Evacuation struct{ DataCentre contract.DataCentreID }

// activeEvacuation is an evacuation in force and the revision of its object.
type activeEvacuation struct {
	Evacuation
	revision contract.Revision
	// expiresAt is set while an older copy of the store lacks the evacuation.
	expiresAt time.Time
}

// evacuationHold is how long an evacuation stays in force that is missing
// in an older copy of the store. The operator writes it again, as upstreams do.
const evacuationHold = lapseGracePeriod

// applyEvacuations updates which data centres are evacuated. An evacuation ends only
// when the store reports the object of the evacuation deleted, not when the store is unreachable,
// and not at once when the store has returned from an older copy.
func (s *Site) applyEvacuations(c Changes[Evacuation], full bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	returned := s.evacuationsEra.begin(c.Revision.Era())
	listed := make(map[string]bool, len(c.Items))
	for _, i := range c.Items {
		listed[i.Name] = !i.Deleted
		s.log.Info("evacuation", zap.String("data_centre", i.Name), zap.Bool("taken_back", i.Deleted), zap.Stringer("revision", i.Revision))
		switch {
		case i.Deleted:
			delete(s.activeEvacuations, i.Name)
		case i.Err == nil:
			s.activeEvacuations[i.Name] = activeEvacuation{Evacuation: i.Value, revision: i.Revision}
		}
	}
	for name, e := range s.activeEvacuations {
		switch {
		case !full || listed[name] || e.revision > c.Revision: // an evacuation requested after the list was made is not in the list
		case returned:
			e.expiresAt = s.opts.Now().Add(evacuationHold)
			s.activeEvacuations[name] = e
		case e.expiresAt.IsZero():
			delete(s.activeEvacuations, name)
		}
	}
	s.setEvacuated()
}

// expireEvacuations ends the evacuations that were not written again
// after the store returned from an older copy. The caller holds mu.
func (s *Site) expireEvacuations() {
	before := len(s.activeEvacuations)
	now := s.opts.Now()
	maps.DeleteFunc(s.activeEvacuations, func(_ string, e activeEvacuation) bool { return !e.expiresAt.IsZero() && !now.Before(e.expiresAt) })
	if len(s.activeEvacuations) != before {
		s.setEvacuated()
	}
}

// setEvacuated passes the evacuated data centres to the relay. The caller holds mu.
func (s *Site) setEvacuated() {
	var dataCentres []contract.DataCentreID
	for _, e := range s.activeEvacuations {
		dataCentres = append(dataCentres, e.DataCentre)
	}
	slices.Sort(dataCentres)
	s.opts.Relay.SetEvacuated(dataCentres)
}
