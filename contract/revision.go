package contract

import "strconv"

// Revision orders the states of a store, and of the configuration in it. It only increases.
// Zero means that nothing has been accepted yet.
//
// A store that returns from an older copy of its contents gives out the numbers of its changes
// again. Its era, which rises each time, therefore counts before the number: a revision of a
// later era is higher than every revision of an earlier one, so revisions are compared as they are.
type Revision uint64

// counterBits is the number of low bits that hold the number of the change.
// They last for three years at 10,000 changes a second, and leave room for 16 million eras.
const counterBits = 40

// MaxCounter is the highest number of a change that a Revision can hold.
const MaxCounter = 1<<counterBits - 1

// NewRevision returns the revision of a change of an era of a store. The number of the change
// is at most MaxCounter. Era zero is that of a store that names no era.
func NewRevision(era, counter uint64) Revision { return Revision(era<<counterBits | counter) }

// Era returns the era of the store to which the revision belongs.
func (r Revision) Era() uint64 { return uint64(r >> counterBits) }

// Counter returns the number of the change within the era.
func (r Revision) Counter() uint64 { return uint64(r & MaxCounter) }

// String returns the number of the change, after the era and a point if there is an era.
func (r Revision) String() string {
	counter := strconv.FormatUint(r.Counter(), 10)
	if r.Era() == 0 {
		return counter
	}
	return strconv.FormatUint(r.Era(), 10) + "." + counter
}
