package main

import (
	"fmt"
	"io"
	"strings"
)

// table holds the results of one measurement.
type table struct {
	title string
	// description lists the parameters of the measurement, with the seed.
	description string
	columns     []string
	rows        [][]string
}

// addRow adds a row. It prints floating-point numbers with three significant digits, and
// from 100 on without decimals.
func (t *table) addRow(cells ...any) {
	row := make([]string, len(cells))
	for i, c := range cells {
		switch v := c.(type) {
		case float64:
			row[i] = fmt.Sprintf("%.3g", v)
			if v >= 100 {
				row[i] = fmt.Sprintf("%.0f", v)
			}
		default:
			row[i] = fmt.Sprint(v)
		}
	}
	t.rows = append(t.rows, row)
}

// print writes the table as Markdown.
func (t *table) print(w io.Writer) {
	fmt.Fprintf(w, "### %s\n\n%s\n\n| %s |\n|%s\n", t.title, t.description, strings.Join(t.columns, " | "), strings.Repeat("---|", len(t.columns)))
	for _, row := range t.rows {
		fmt.Fprintf(w, "| %s |\n", strings.Join(row, " | "))
	}
	fmt.Fprintln(w)
}
