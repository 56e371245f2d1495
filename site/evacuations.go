package site

import (
	"maps"
	"slices"

	"go.uber.org/zap"

	"woaddoor/contract"
)

// Evacuation asks that nothing more be sent to the upstreams of a data centre, until
// its object is taken away.
type Evacuation struct{ DataCentre contract.DataCentreID }

// evacuated is an evacuation in force, and the revision at which it was asked for.
type evacuated struct {
	Evacuation
	at contract.Revision
}

// applyEvacuations takes in which data centres are evacuated. One holds until the store
// says that it is taken back: that the store cannot be asked ends none.
func (s *Site) applyEvacuations(c Changes[Evacuation], full bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	in := make(map[string]bool, len(c.Items))
	for _, i := range c.Items {
		in[i.Name] = !i.Deleted
		s.log.Info("evacuation", zap.String("data_centre", i.Name), zap.Bool("taken_back", i.Deleted), zap.Int64("revision", int64(i.Revision)))
		switch {
		case i.Deleted:
			delete(s.evacuated, i.Name)
		case i.Err == nil:
			s.evacuated[i.Name] = evacuated{i.Value, i.Revision}
		}
	}
	if full { // one asked for after the list was made is not in it
		maps.DeleteFunc(s.evacuated, func(name string, e evacuated) bool { return !in[name] && e.at <= c.Revision })
	}
	var centres []contract.DataCentreID
	for _, e := range s.evacuated {
		centres = append(centres, e.DataCentre)
	}
	slices.Sort(centres)
	s.opts.Relay.SetEvacuated(centres)
}
