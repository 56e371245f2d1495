package config

import (
	"fmt"
	"regexp"
	"slices"
	"strings"

	"gopkg.in/ini.v1"

	"woaddoor/document"
)

// Fault is one error in a file.
type Fault struct {
	File    string `json:"file"`
	Line    int    `json:"line"`
	Section string `json:"section,omitempty"`
	Key     string `json:"key,omitempty"`
	// Message states what is wrong and usually what was expected instead.
	Message string `json:"want"`
}

// String returns the fault as "file:line: [section] key: message".
func (f Fault) String() string {
	var b strings.Builder
	fmt.Fprintf(&b, "%s:%d:", f.File, f.Line)
	if f.Section != "" {
		fmt.Fprintf(&b, " [%s]", f.Section)
	}
	if f.Key != "" {
		fmt.Fprintf(&b, " %s:", f.Key)
	}
	return b.String() + " " + f.Message
}

// Faults lists all errors found in a file. It implements error.
type Faults []Fault

// Error returns one line per fault.
func (fs Faults) Error() string {
	lines := make([]string, len(fs))
	for i, f := range fs {
		lines[i] = f.String()
	}
	return strings.Join(lines, "\n")
}

// Err returns the faults as an error, or nil if there are none.
func (fs Faults) Err() error {
	if len(fs) == 0 {
		return nil
	}
	return fs
}

// File is a parsed INI file: its sections, and the line number of each section and key.
type File struct {
	Name     string
	sections map[string]document.Section
	lines    map[sectionKey]int
}

// sectionKey identifies a key in a section, or the section if key is empty.
type sectionKey struct{ section, key string }

var (
	sectionPattern          = regexp.MustCompile(`^\s*\[([^\]]*)\]`)
	keyPattern              = regexp.MustCompile(`^\s*([^=:;#\[\s][^=:]*?)\s*[=:]`)
	missingDelimiterPattern = regexp.MustCompile(`key-value delimiter not found: (.*)`)
)

// ParseINI parses the text of an INI file; name is used in errors. The INI
// library provides no line numbers, so they are determined separately. A section or
// key that appears twice is a fault.
func ParseINI(name string, text []byte) (*File, error) {
	f := &File{Name: name, sections: make(map[string]document.Section), lines: make(map[sectionKey]int)}
	faults := f.indexLines(text)
	if len(faults) > 0 {
		return nil, faults
	}
	parsed, err := ini.LoadSources(ini.LoadOptions{IgnoreInlineComment: true, SkipUnrecognizableLines: false}, text)
	if err != nil {
		return nil, f.faultFromParseError(text, err)
	}
	for _, s := range parsed.Sections() {
		if s.Name() == ini.DefaultSection && len(s.Keys()) == 0 {
			continue
		}
		f.sections[s.Name()] = canonicalSection(s)
	}
	return f, nil
}

// canonicalSection returns a section as one "key = value" line per key, sorted.
func canonicalSection(s *ini.Section) document.Section {
	keys := s.Keys()
	lines := make([]string, len(keys))
	for i, k := range keys {
		lines[i] = k.Name() + " = " + k.Value() + "\n"
	}
	slices.Sort(lines)
	return document.Section(strings.Join(lines, ""))
}

// indexLines records the line number of each section and key, and returns a
// fault for each section or key that appears twice.
func (f *File) indexLines(text []byte) Faults {
	var faults Faults
	section := ""
	for i, line := range strings.Split(string(text), "\n") {
		at := sectionKey{section: section}
		if m := sectionPattern.FindStringSubmatch(line); m != nil {
			section = m[1]
			at = sectionKey{section: section}
		} else if m := keyPattern.FindStringSubmatch(line); m != nil {
			at.key = m[1]
		} else {
			continue
		}
		if first, duplicate := f.lines[at]; duplicate {
			faults = append(faults, Fault{f.Name, i + 1, at.section, at.key, fmt.Sprintf("duplicates line %d: expected it once", first)})
			continue
		}
		f.lines[at] = i + 1
	}
	return faults
}

// faultFromParseError converts an error of the INI library into a fault with the
// number of the offending line, or line 1 if it cannot be found.
func (f *File) faultFromParseError(text []byte, err error) Faults {
	fault := Fault{File: f.Name, Line: 1, Message: err.Error()}
	if m := missingDelimiterPattern.FindStringSubmatch(err.Error()); m != nil {
		fault.Message = `expected "key = value", a [section] or a comment`
		for i, line := range strings.Split(string(text), "\n") {
			if strings.TrimSpace(line) == strings.TrimSpace(m[1]) {
				fault.Line = i + 1
				break
			}
		}
	}
	return Faults{fault}
}

// Line returns the line number of a key. If the key is absent, Line returns the line
// number of the section, and if the section is absent too, 1.
func (f *File) Line(section, key string) int {
	if n, ok := f.lines[sectionKey{section, key}]; ok {
		return n
	}
	if n, ok := f.lines[sectionKey{section: section}]; ok {
		return n
	}
	return 1
}

// Sections returns the sections by name, in the form in which a document stores
// sections. The caller must not modify the map.
func (f *File) Sections() map[string]document.Section { return f.sections }
