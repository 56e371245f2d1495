package command

import (
	"fmt"
	"io"
	"strings"

	"woaddoor/document"
)

// printLines writes each line of a section after a mark.
func printLines(w io.Writer, mark string, s document.Section) {
	for _, line := range strings.Split(strings.TrimSuffix(string(s), "\n"), "\n") {
		if line != "" {
			fmt.Fprintln(w, mark+line)
		}
	}
}

// trimLine returns the text without the end of its line.
func trimLine(raw []byte) string { return strings.TrimRight(string(raw), "\r\n") }
