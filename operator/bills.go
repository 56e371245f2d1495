package operator

import (
	"context"
	"encoding/json"
	"slices"

	"woaddoor/bill"
	"woaddoor/contract"
	"woaddoor/document"
	"woaddoor/history"
)

// Bills returns the amount that each workspace owes according to the bill records
// filed so far. A record that was filed more than once is counted once.
func (o *Operator) Bills(ctx context.Context) ([]bill.WorkspaceTotal, error) {
	var records []bill.Record
	after := ""
	for {
		names, err := o.Store.List(ctx, bill.BatchNamePrefix, after)
		if err != nil {
			return nil, err
		}
		if len(names) == 0 {
			return bill.TotalsByWorkspace(records), nil
		}
		for _, name := range names {
			obj, err := o.Store.Read(ctx, name)
			if err != nil {
				return nil, err
			}
			var b bill.Batch
			if err := json.Unmarshal(obj.Value, &b); err != nil {
				return nil, contract.WrapStep(contract.StepFile, name, err)
			}
			records = append(records, b.Records...)
		}
		after = names[len(names)-1]
	}
}

// History returns the n latest audit records, latest first.
func (o *Operator) History(ctx context.Context, n int) ([]document.Change, error) {
	var changes []document.Change
	err := history.WalkChanges(ctx, o.Store, func(c document.Change) bool {
		changes = append(changes, c)
		return len(changes) < n
	})
	return changes, err
}

// sortedLines sorts lines in place and returns them.
func sortedLines(lines []string) []string {
	slices.Sort(lines)
	return lines
}
