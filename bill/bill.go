// Package bill makes sure that each request is billed once, to the right
// workspace, by machines that keep nothing.
//
// A record is copied to a peer before the end of its answer goes out, and any
// VM that holds it may file it, any number of times: what is billed is the
// union of all filed records by their id. docs/design/billing.md weighs this.
package bill

import (
	"cmp"
	"slices"
	"time"

	"woaddoor/contract"
)

// ID names what is billed once: a request of a workspace. A caller's retry
// under the same idempotency key has the same id.
type ID string

// Record is the bill of one request.
type Record struct {
	ID        ID                   `cbor:"1,keyasint" json:"id"`
	Workspace contract.WorkspaceID `cbor:"2,keyasint" json:"workspace"`
	// Version is the version that gave the answer delivered.
	Version contract.VersionID `cbor:"3,keyasint" json:"version"`
	Input   contract.Tokens    `cbor:"4,keyasint" json:"input_tokens"`
	Output  contract.Tokens    `cbor:"5,keyasint" json:"output_tokens"`
	Amount  contract.Money     `cbor:"6,keyasint" json:"amount"`
	// Inside is what the answer cost us besides: cheaper tries of a cascade,
	// retries. It is not billed.
	Inside contract.Money `cbor:"7,keyasint" json:"inside,omitempty"`
	At     time.Time      `cbor:"8,keyasint" json:"at"`
	// Origin is the entry process that made the record.
	Origin Origin `cbor:"9,keyasint" json:"origin"`
}

// Origin is one life of an entry process.
type Origin struct {
	VM          contract.VMID        `cbor:"1,keyasint" json:"vm"`
	Incarnation contract.Incarnation `cbor:"2,keyasint" json:"incarnation"`
}

// Batch is a set of records that is filed as one object.
type Batch struct {
	Records []Record `json:"records"`
}

// key is what the union is over. The workspace is part of it, so that two
// workspaces that use the same idempotency key are billed each for its own.
type key struct {
	workspace contract.WorkspaceID
	id        ID
}

func (r Record) key() key { return key{r.Workspace, r.ID} }

// Union returns each request's record once, in order of workspace and id. Of
// two records of one request, the earlier counts: a retry under the same
// idempotency key is not billed again.
func Union(records []Record) []Record {
	first := make(map[key]Record, len(records))
	for _, r := range records {
		old, had := first[r.key()]
		if !had || before(r, old) {
			first[r.key()] = r
		}
	}
	out := make([]Record, 0, len(first))
	for _, r := range first {
		out = append(out, r)
	}
	slices.SortFunc(out, func(a, b Record) int {
		return cmp.Or(cmp.Compare(a.Workspace, b.Workspace), cmp.Compare(a.ID, b.ID))
	})
	return out
}

// before orders the records of one request, by time, then by origin, so that
// every reader picks the same.
func before(a, b Record) bool {
	order := cmp.Or(a.At.Compare(b.At), cmp.Compare(a.Origin.VM, b.Origin.VM),
		cmp.Compare(a.Origin.Incarnation, b.Origin.Incarnation), cmp.Compare(a.Amount, b.Amount))
	return order < 0
}

// Sum is what one workspace owes.
type Sum struct {
	Workspace contract.WorkspaceID `json:"workspace"`
	Requests  int                  `json:"requests"`
	Input     contract.Tokens      `json:"input_tokens"`
	Output    contract.Tokens      `json:"output_tokens"`
	Amount    contract.Money       `json:"amount"`
	Inside    contract.Money       `json:"inside"`
}

// Sums adds up the union of records by workspace.
func Sums(records []Record) []Sum {
	var sums []Sum
	for _, r := range Union(records) {
		if len(sums) == 0 || sums[len(sums)-1].Workspace != r.Workspace {
			sums = append(sums, Sum{Workspace: r.Workspace})
		}
		s := &sums[len(sums)-1]
		s.Requests++
		s.Input += r.Input
		s.Output += r.Output
		s.Amount += r.Amount
		s.Inside += r.Inside
	}
	return sums
}

// Prefix begins the names of the filed batches.
const Prefix = "woaddoor/bill/"
