// Package bill ensures that each request is billed exactly once and to the right
// workspace, although VMs have no durable storage.
//
// A bill record is copied to a peer before the end of the answer is sent to the client.
// Any VM that holds the record may file the record (write it to the platform's store) any number of
// times. The bill is the union of all filed records by workspace and ID.
// docs/design/billing.md explains the design.
package bill

import (
	"cmp"
	"slices"
	"time"

	"woaddoor/contract"
)

// ID identifies a request of a workspace. The request is billed once.
// A retry by the client under the same idempotency key has the same ID.
type ID string

// Record is the bill of one request.
type Record struct {
	ID        ID                   `cbor:"1,keyasint" json:"id"`
	Workspace contract.WorkspaceID `cbor:"2,keyasint" json:"workspace"`
	// Version is the model version that produced the delivered answer.
	Version contract.VersionID `cbor:"3,keyasint" json:"version"`
	Input   contract.Tokens    `cbor:"4,keyasint" json:"input_tokens"`
	Output  contract.Tokens    `cbor:"5,keyasint" json:"output_tokens"`
	Amount  contract.Money     `cbor:"6,keyasint" json:"amount"`
	// InternalCost is the cost of attempts that are not billed: a cascade's attempts with cheaper
	// models, and retries.
	InternalCost contract.Money `cbor:"7,keyasint" json:"inside,omitempty"`
	At           time.Time      `cbor:"8,keyasint" json:"at"`
	// Origin is the entry process that created the record.
	Origin Origin `cbor:"9,keyasint" json:"origin"`
}

// Origin identifies one incarnation of the process that created a record or batch.
type Origin struct {
	VM          contract.VMID        `cbor:"1,keyasint" json:"vm"`
	Incarnation contract.Incarnation `cbor:"2,keyasint" json:"incarnation"`
}

// Batch is a set of bill records stored as one object in the platform's store.
type Batch struct {
	Records []Record `json:"records"`
}

// recordKey identifies the request that a record bills.
// The key includes the workspace, so that two workspaces that use the same idempotency key are each
// billed for their own request.
type recordKey struct {
	workspace contract.WorkspaceID
	id        ID
}

func (r Record) key() recordKey { return recordKey{r.Workspace, r.ID} }

// Union returns one bill record for each request, sorted by workspace and ID.
// If a request has several records, the earliest record counts:
// a retry under the same idempotency key is not billed again.
func Union(records []Record) []Record {
	unique := make(map[recordKey]Record, len(records))
	for _, r := range records {
		old, exists := unique[r.key()]
		if !exists || precedes(r, old) {
			unique[r.key()] = r
		}
	}
	out := make([]Record, 0, len(unique))
	for _, r := range unique {
		out = append(out, r)
	}
	slices.SortFunc(out, func(a, b Record) int {
		return cmp.Or(cmp.Compare(a.Workspace, b.Workspace), cmp.Compare(a.ID, b.ID))
	})
	return out
}

// precedes returns whether record a comes before record b. precedes orders the records of one
// request by time, origin and amount, so that every process selects the same record.
func precedes(a, b Record) bool {
	order := cmp.Or(a.At.Compare(b.At), cmp.Compare(a.Origin.VM, b.Origin.VM),
		cmp.Compare(a.Origin.Incarnation, b.Origin.Incarnation), cmp.Compare(a.Amount, b.Amount))
	return order < 0
}

// WorkspaceTotal is the total bill of one workspace.
type WorkspaceTotal struct {
	Workspace    contract.WorkspaceID `json:"workspace"`
	Requests     int                  `json:"requests"`
	Input        contract.Tokens      `json:"input_tokens"`
	Output       contract.Tokens      `json:"output_tokens"`
	Amount       contract.Money       `json:"amount"`
	InternalCost contract.Money       `json:"inside"`
}

// TotalsByWorkspace returns the bill total of each workspace over the union of the records.
func TotalsByWorkspace(records []Record) []WorkspaceTotal {
	var totals []WorkspaceTotal
	for _, r := range Union(records) {
		if len(totals) == 0 || totals[len(totals)-1].Workspace != r.Workspace {
			totals = append(totals, WorkspaceTotal{Workspace: r.Workspace})
		}
		total := &totals[len(totals)-1]
		total.Requests++
		total.Input += r.Input
		total.Output += r.Output
		total.Amount += r.Amount
		total.InternalCost += r.InternalCost
	}
	return totals
}

// BatchNamePrefix is the prefix of the object names of filed batches.
const BatchNamePrefix = "woaddoor/bill/"
