package site

// eraMark holds the era of the store to which known objects belong.
type eraMark struct {
	era   uint64
	known bool
}

// begin records the era of a list, and reports whether the store has returned
// from an older copy of its contents since the last list.
func (m *eraMark) begin(era uint64) (returned bool) {
	returned = m.known && era > m.era
	m.era, m.known = max(m.era, era), true
	return returned
}
