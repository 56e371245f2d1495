package site

import (
	"maps"
	"slices"

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
}

// applyEvacuations updates which data centres are evacuated. An evacuation ends only
// when the store reports the object of the evacuation deleted, not when the store is unreachable.
func (s *Site) applyEvacuations(c Changes[Evacuation], full bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	listed := make(map[string]bool, len(c.Items))
	for _, i := range c.Items {
		listed[i.Name] = !i.Deleted
		s.log.Info("evacuation", zap.String("data_centre", i.Name), zap.Bool("taken_back", i.Deleted), zap.Stringer("revision", i.Revision))
		switch {
		case i.Deleted:
			delete(s.activeEvacuations, i.Name)
		case i.Err == nil:
			s.activeEvacuations[i.Name] = activeEvacuation{i.Value, i.Revision}
		}
	}
	if full { // an evacuation requested after the list was made is not in the list
		maps.DeleteFunc(s.activeEvacuations, func(name string, e activeEvacuation) bool { return !listed[name] && e.revision <= c.Revision })
	}
	var dataCentres []contract.DataCentreID
	for _, e := range s.activeEvacuations {
		dataCentres = append(dataCentres, e.DataCentre)
	}
	slices.Sort(dataCentres)
	s.opts.Relay.SetEvacuated(dataCentres)
}
