package command

import (
	"fmt"
	"io"
	"strings"

	"woaddoor/document"
)

// printSection writes each line of a section with a prefix.
func printSection(w io.Writer, prefix string, s document.Section) {
	for _, line := range strings.Split(strings.TrimSuffix(string(s), "\n"), "\n") {
		if line != "" {
			fmt.Fprintln(w, prefix+line)
		}
	}
}

// trimLineEnd returns the text without trailing line breaks.
func trimLineEnd(raw []byte) string { return strings.TrimRight(string(raw), "\r\n") }
