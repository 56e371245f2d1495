package command

import (
	"fmt"
	"io"
	"strings"

	"woaddoor/document"
)

// printSection writes each line of a section after a mark.
func printSection(w io.Writer, mark string, s document.Section) {
	for _, line := range strings.Split(strings.TrimSuffix(string(s), "\n"), "\n") {
		if line != "" {
			fmt.Fprintln(w, mark+line)
		}
	}
}

// trimLineEnd returns the text without the end of its line.
func trimLineEnd(raw []byte) string { return strings.TrimRight(string(raw), "\r\n") }
