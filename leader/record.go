package leader

import (
	"encoding/json"

	"woaddoor/scaling"
	"woaddoor/usage"
)

// Record is what the holders of the lease share, each part of one act.
type Record struct {
	Usage   usage.Record   `json:"usage"`
	Scaling scaling.Record `json:"scaling"`
}

// recordOf reads a record; the zero value where there is none.
func recordOf(raw json.RawMessage) (Record, error) {
	var r Record
	if len(raw) == 0 {
		return r, nil
	}
	err := json.Unmarshal(raw, &r)
	return r, err
}

// inForce returns the record that the store has taken.
func inForce(k *Keeper) (Record, error) {
	seen, _, _ := k.Known()
	return recordOf(seen.Object.Record)
}

// fix has a change of the record written with the next renewal, at once if it is urgent. One
// that cannot be read is begun anew.
func fix(k *Keeper, urgent bool, change func(*Record)) error {
	return k.Change(func(raw json.RawMessage) (json.RawMessage, error) {
		r, err := recordOf(raw)
		if err != nil {
			r = Record{}
		}
		change(&r)
		return json.Marshal(r)
	}, urgent)
}
