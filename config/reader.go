package config

import (
	"fmt"
	"maps"
	"slices"
	"strconv"
	"strings"
	"time"

	"woaddoor/document"
)

// SectionReader reads typed values from one section and collects a fault for each
// invalid value. Keys of the section that were never read are faults too; see RejectUnknownKeys.
type SectionReader struct {
	file     *File
	section  string
	values   map[string]string
	readKeys []string
	faults   *Faults
}

// NewReader returns a reader of one section of a file. It appends to faults.
func NewReader(f *File, section string, faults *Faults) *SectionReader {
	return &SectionReader{file: f, section: section, values: parseSection(f.sections[section]), faults: faults}
}

// parseSection returns the values of a canonical section by key.
func parseSection(s document.Section) map[string]string {
	values := make(map[string]string)
	for _, line := range strings.Split(string(s), "\n") {
		key, value, ok := strings.Cut(line, " = ")
		if ok {
			values[key] = value
		}
	}
	return values
}

// Fault records a fault of key; an empty key means the section as a whole. The
// message is formatted from format and args.
func (r *SectionReader) Fault(key, format string, args ...any) {
	*r.faults = append(*r.faults, Fault{
		File: r.file.Name, Line: r.file.Line(r.section, key),
		Section: r.section, Key: key, Message: fmt.Sprintf(format, args...),
	})
}

// Keys returns all keys present in the section, sorted. It is for sections whose
// keys are names chosen by the operator, such as those of data centres.
func (r *SectionReader) Keys() []string { return slices.Sorted(maps.Keys(r.values)) }

// String returns the value of key, or fallback if the key is absent.
func (r *SectionReader) String(key, fallback string) string {
	r.readKeys = append(r.readKeys, key)
	if v, ok := r.values[key]; ok {
		return v
	}
	return fallback
}

// Required returns the value of key. A missing or empty value is a fault, whose
// message contains want as the description of the expected value.
func (r *SectionReader) Required(key, want string) string {
	v := r.String(key, "")
	if v == "" {
		r.Fault(key, "is missing or empty: expected %s", want)
	}
	return v
}

// Has reports whether the section contains key.
func (r *SectionReader) Has(key string) bool {
	_, ok := r.values[key]
	return ok
}

// List returns the comma-separated values of key, without empty values.
func (r *SectionReader) List(key string) []string {
	var items []string
	for _, item := range strings.Split(r.String(key, ""), ",") {
		if item = strings.TrimSpace(item); item != "" {
			items = append(items, item)
		}
	}
	return items
}

// Duration returns the value of key, a non-negative duration with a unit such as
// 30s. It returns fallback if the value is missing or invalid.
func (r *SectionReader) Duration(key string, fallback time.Duration) time.Duration {
	text := r.String(key, "")
	if text == "" {
		return fallback
	}
	d, err := time.ParseDuration(text)
	if err != nil || d < 0 {
		r.Fault(key, "is %q: expected a duration with a unit, such as 30s, 5m or 2h", text)
		return fallback
	}
	return d
}

// Int returns the value of key, a whole number from low to high. It returns
// fallback if the value is missing or invalid.
func (r *SectionReader) Int(key string, fallback, low, high int) int {
	text := r.String(key, "")
	if text == "" {
		return fallback
	}
	n, err := strconv.Atoi(text)
	if err != nil || n < low || n > high {
		r.Fault(key, "is %q: expected a whole number from %d to %d", text, low, high)
		return fallback
	}
	return n
}

// Fraction returns the value of key, a number from 0 to 1. It returns fallback if
// the value is missing or invalid.
func (r *SectionReader) Fraction(key string, fallback float64) float64 {
	return r.Number(key, fallback, 0, 1)
}

// Number returns the value of key, a number from low to high. It returns fallback
// if the value is missing or invalid.
func (r *SectionReader) Number(key string, fallback, low, high float64) float64 {
	text := r.String(key, "")
	if text == "" {
		return fallback
	}
	x, err := strconv.ParseFloat(text, 64)
	if err != nil || !(x >= low && x <= high) {
		r.Fault(key, "is %q: expected a number from %v to %v", text, low, high)
		return fallback
	}
	return x
}

// RisingPercentages returns the comma-separated percentages of key, which must be strictly rising.
func (r *SectionReader) RisingPercentages(key string) []float64 {
	var steps []float64
	for _, item := range r.List(key) {
		x, err := strconv.ParseFloat(strings.TrimSuffix(item, "%"), 64)
		rising := len(steps) == 0 || x > steps[len(steps)-1]
		if err != nil || !strings.HasSuffix(item, "%") || !(x > 0 && x <= 100) || !rising {
			r.Fault(key, "has %q: expected rising percentages, such as 1%%, 5%%, 25%%, 100%%", item)
			return nil
		}
		steps = append(steps, x)
	}
	return steps
}

// OneOf returns the value of key, which must be one of the choices. It returns
// fallback if the value is missing or invalid.
func (r *SectionReader) OneOf(key, fallback string, choices ...string) string {
	v := r.String(key, fallback)
	for _, c := range choices {
		if v == c {
			return v
		}
	}
	r.Fault(key, "is %q: expected one of %s", v, strings.Join(choices, ", "))
	return fallback
}

// RejectUnknownKeys records a fault for each key of the section that was never read, so that
// misspelled keys are not ignored.
func (r *SectionReader) RejectUnknownKeys() {
	known := make(map[string]bool, len(r.readKeys))
	for _, k := range r.readKeys {
		known[k] = true
	}
	for key := range r.values {
		if !known[key] {
			r.Fault(key, "is not a key of this section: expected one of %s", strings.Join(r.readKeys, ", "))
		}
	}
}
