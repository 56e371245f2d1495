package config

import (
	"fmt"
	"regexp"
	"slices"
	"strings"

	"gopkg.in/ini.v1"

	"woaddoor/document"
)

// Fault is one thing wrong with a file.
type Fault struct {
	File    string `json:"file"`
	Line    int    `json:"line"`
	Section string `json:"section,omitempty"`
	Key     string `json:"key,omitempty"`
	// Want says what was expected there.
	Want string `json:"want"`
}

// String returns "file:line: [section] key: what was expected".
func (f Fault) String() string {
	var b strings.Builder
	fmt.Fprintf(&b, "%s:%d:", f.File, f.Line)
	if f.Section != "" {
		fmt.Fprintf(&b, " [%s]", f.Section)
	}
	if f.Key != "" {
		fmt.Fprintf(&b, " %s:", f.Key)
	}
	return b.String() + " " + f.Want
}

// Faults is every fault of a file.
type Faults []Fault

// Error returns one line a fault.
func (fs Faults) Error() string {
	lines := make([]string, len(fs))
	for i, f := range fs {
		lines[i] = f.String()
	}
	return strings.Join(lines, "\n")
}

// Err returns the faults as an error, nil when there are none.
func (fs Faults) Err() error {
	if len(fs) == 0 {
		return nil
	}
	return fs
}

// File is an INI file read as sections, with the line of each key.
type File struct {
	Name     string
	sections map[string]document.Section
	lines    map[place]int
}

type place struct{ section, key string }

var (
	sectionLine = regexp.MustCompile(`^\s*\[([^\]]*)\]`)
	keyLine     = regexp.MustCompile(`^\s*([^=:;#\[\s][^=:]*?)\s*[=:]`)
	badLine     = regexp.MustCompile(`key-value delimiter not found: (.*)`)
)

// ReadFile reads an INI text. The library that parses it keeps no line
// numbers, so they are looked up beside it; a name that stands twice is a fault.
func ReadFile(name string, text []byte) (*File, error) {
	f := &File{Name: name, sections: make(map[string]document.Section), lines: make(map[place]int)}
	faults := f.locate(text)
	if len(faults) > 0 {
		return nil, faults
	}
	parsed, err := ini.LoadSources(ini.LoadOptions{IgnoreInlineComment: true, SkipUnrecognizableLines: false}, text)
	if err != nil {
		return nil, f.parseFault(text, err)
	}
	for _, s := range parsed.Sections() {
		if s.Name() == ini.DefaultSection && len(s.Keys()) == 0 {
			continue
		}
		f.sections[s.Name()] = canonical(s)
	}
	return f, nil
}

func canonical(s *ini.Section) document.Section {
	keys := s.Keys()
	lines := make([]string, len(keys))
	for i, k := range keys {
		lines[i] = k.Name() + " = " + k.Value() + "\n"
	}
	slices.Sort(lines)
	return document.Section(strings.Join(lines, ""))
}

// locate notes the line of each section and key.
func (f *File) locate(text []byte) Faults {
	var faults Faults
	section := ""
	for i, line := range strings.Split(string(text), "\n") {
		at := place{section: section}
		if m := sectionLine.FindStringSubmatch(line); m != nil {
			section = m[1]
			at = place{section: section}
		} else if m := keyLine.FindStringSubmatch(line); m != nil {
			at.key = m[1]
		} else {
			continue
		}
		if first, twice := f.lines[at]; twice {
			faults = append(faults, Fault{f.Name, i + 1, at.section, at.key, fmt.Sprintf("stands already at line %d", first)})
			continue
		}
		f.lines[at] = i + 1
	}
	return faults
}

// parseFault turns an error of the library into a fault with its line.
func (f *File) parseFault(text []byte, err error) Faults {
	fault := Fault{File: f.Name, Line: 1, Want: err.Error()}
	if m := badLine.FindStringSubmatch(err.Error()); m != nil {
		fault.Want = `expected "key = value", a [section] or a comment`
		for i, line := range strings.Split(string(text), "\n") {
			if strings.TrimSpace(line) == strings.TrimSpace(m[1]) {
				fault.Line = i + 1
				break
			}
		}
	}
	return Faults{fault}
}

// Line returns the line of a key, else that of its section, else 1.
func (f *File) Line(section, key string) int {
	if n, ok := f.lines[place{section, key}]; ok {
		return n
	}
	if n, ok := f.lines[place{section: section}]; ok {
		return n
	}
	return 1
}

// Sections returns the sections as a document keeps them.
func (f *File) Sections() map[string]document.Section { return f.sections }
