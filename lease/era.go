package lease

import (
	"time"

	"woaddoor/contract"
)

// beginsEra reports whether a version shows that the store has returned from an older copy.
// A process that knows nothing yet assumes so too, unless the store names no era.
func (h *Handle) beginsEra(v contract.ObjectVersion) bool { return v.Era() > h.latest.Version.Era() }

// keepsAcrossReturn notes that the store has returned from an older copy, and reports whether
// this process goes on holding the lease, which the store has lost. o is the object in the copy.
// An object that was written after the return carries a fencing token of the era,
// and the copy may contain a later write of this process, whose reply was lost.
func (h *Handle) keepsAcrossReturn(o VersionedObject, now time.Time) bool {
	h.returnedAt = now
	writtenSince := o.Object.Fencing > lastEarlierFencing(o.Version.Era()) || o.Object.Renewals > h.latest.Object.Renewals
	if !h.HeldBySelf() || !now.Before(h.expiresAt) || writtenSince {
		return false
	}
	h.latest.Version, h.unchangedSince, h.rewrite = o.Version, now, true
	return true
}

// lastEarlierFencing returns the highest fencing token of the eras before an era, which is not zero.
func lastEarlierFencing(era uint64) contract.FencingToken {
	return contract.FencingToken(contract.NewRevision(era-1, contract.MaxCounter))
}

// nextFencing returns the fencing token of the next holder.
func (h *Handle) nextFencing() contract.FencingToken {
	next := max(h.latest.Object.Fencing, h.highestFencing)
	if era := h.latest.Version.Era(); era > 0 {
		next = max(next, lastEarlierFencing(era))
	}
	return next + 1
}
