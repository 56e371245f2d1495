package leader

import (
	"encoding/json"

	"woaddoor/scaling"
	"woaddoor/usage"
)

// Record is the record in the lease object.
// Each task of the lease holder has its own part of the record.
type Record struct {
	Usage   usage.Record  `json:"usage"`
	Scaling scaling.State `json:"scaling"`
}

// decodeRecord decodes the record of the lease object.
// decodeRecord returns the zero value for an empty record.
func decodeRecord(raw json.RawMessage) (Record, error) {
	var r Record
	if len(raw) == 0 {
		return r, nil
	}
	err := json.Unmarshal(raw, &r)
	return r, err
}

// storedRecord returns the record in the newest known lease object.
func storedRecord(c *LeaseClient) (Record, error) {
	latest, _, _ := c.Latest()
	return decodeRecord(latest.Object.Record)
}

// updateRecord stores a change of the record with the next renewal, immediately if urgent is true.
// updateRecord replaces a record that cannot be decoded by a new record.
func updateRecord(c *LeaseClient, urgent bool, change func(*Record)) error {
	return c.UpdateRecord(func(raw json.RawMessage) (json.RawMessage, error) {
		r, err := decodeRecord(raw)
		if err != nil {
			r = Record{}
		}
		change(&r)
		return json.Marshal(r)
	}, urgent)
}
