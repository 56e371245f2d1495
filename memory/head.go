package memory

import (
	"bytes"

	"woaddoor/contract"
)

const (
	// fieldCost is what a line of a head takes once it is parsed, beside its bytes: its entry in the map of fields,
	// its list of values and the copies of both.
	fieldCost contract.Bytes = 160
	// itemCost is what an item of a list in a head takes once it is parsed, such as a part of a prompt.
	itemCost contract.Bytes = 64
	// FreeHead is the size of heads that are covered by the price of a connection.
	FreeHead = 8 * contract.KiB
)

var newline, comma = []byte("\n"), []byte(",")

// HeadCost returns what a piece of a head of HTTP takes once it is parsed.
func HeadCost(piece []byte) contract.Bytes {
	return contract.Bytes(len(piece)) + fieldCost*contract.Bytes(bytes.Count(piece, newline)) + itemCost*contract.Bytes(bytes.Count(piece, comma))
}
