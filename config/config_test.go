package config

import (
	"errors"
	"strings"
	"testing"

	"github.com/matryer/is"

	"woaddoor/document"
)

const validKeyHash = "0000000000000000000000000000000000000000000000000000000000000000"

const validFile = `[workspace norte]
key-hash = ` + validKeyHash + `
allow = m@1, m@2

[model m]
serve = m@1

[version m@1]

[version m@2]
state = draining
serve-without-word = 30s

[rollout m]
from = m@1
to = m@2
steps = 1%, 50%, 100%
`

// TestParseValidFile checks values of several kinds of sections in a valid file.
func TestParseValidFile(t *testing.T) {
	is := is.New(t)
	c, _, err := Parse("site.ini", []byte(validFile))
	is.NoErr(err)
	is.Equal(c.Versions["m@2"].State, Draining)
	is.Equal(c.Rollouts["m"].Steps, []float64{1, 50, 100})
	w, ok := c.WorkspaceByKeyHash(validKeyHash)
	is.True(ok)
	is.Equal(string(w.ID), "norte")
}

// TestParseReportsFileLineAndKey checks that the error about each invalid file
// names the file, the line and the key, and states what was expected.
func TestParseReportsFileLineAndKey(t *testing.T) {
	for name, c := range map[string]struct{ old, new, want string }{
		"unknown key":                 {"serve = m@1", "serve = m@1\nserv = m@1", "site.ini:7: [model m] serv: is not a key of this section"},
		"wrong unit":                  {"30s", "30", "site.ini:12: [version m@2] serve-without-word: is \"30\": expected a duration with a unit"},
		"duration above maximum":      {"30s", "72h", "site.ini:12: [version m@2] serve-without-word: is 72h0m0s: expected at most 48h0m0s"},
		"undeclared version":          {"serve = m@1", "serve = m@9", "site.ini:6: [model m] serve: names m@9, which has no section"},
		"empty list of versions":      {"allow = m@1, m@2", "allow =", "site.ini:3: [workspace norte] allow: is missing or empty"},
		"unknown section":             {"[model m]", "[modle m]", "site.ini:5: [modle m] has an unknown kind"},
		"duplicate key":               {"serve = m@1", "serve = m@1\nserve = m@2", "site.ini:7: [model m] serve: duplicates line 6"},
		"line without delimiter":      {"[version m@1]", "[version m@1]\nnonsense", "site.ini:9: expected \"key = value\""},
		"falling steps":               {"1%, 50%", "50%, 1%", "site.ini:17: [rollout m] steps: has \"1%\": expected rising"},
		"system section":              {"[model m]", "[progress m]\nto = m@2\n\n[model m]", "site.ini:5: [progress m] is written by the system"},
		"unknown version state":       {"draining", "drained", "site.ini:11: [version m@2] state: is \"drained\": expected one of"},
		"version of undeclared model": {"[version m@1]", "[version x@1]\n[version m@1]", "site.ini:8: [version x@1] is of model x"},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			text := strings.Replace(validFile, c.old, c.new, 1)
			is.True(text != validFile)
			_, _, err := Parse("site.ini", []byte(text))
			var faults Faults
			is.True(errors.As(err, &faults))
			if !strings.Contains(err.Error(), c.want) {
				t.Fatalf("want %q in:\n%s", c.want, err)
			}
		})
	}
}

// TestNextSectionsKeepsVersionWithdrawn checks that a file in which a withdrawn
// version has an earlier state is rejected, and that one which keeps it withdrawn
// is accepted.
func TestNextSectionsKeepsVersionWithdrawn(t *testing.T) {
	is := is.New(t)
	withdrawn := strings.Replace(validFile, "state = draining", "state = withdrawn", 1)
	_, f, err := Parse("site.ini", []byte(withdrawn))
	is.NoErr(err)
	accepted := document.New(1, "c", f.Sections())
	_, older, err := Parse("older.ini", []byte(validFile))
	is.NoErr(err)
	_, err = NextSections(accepted, older)
	is.True(err != nil)
	is.True(strings.Contains(err.Error(), "older.ini:11: [version m@2] state: was withdrawn before"))
	sections, err := NextSections(accepted, f)
	is.NoErr(err)
	is.Equal(len(sections), 5)
}

// TestNextSectionsKeepsRolloutProgress checks that applying a file keeps the
// stored progress of a rollout that continues.
func TestNextSectionsKeepsRolloutProgress(t *testing.T) {
	is := is.New(t)
	_, f, err := Parse("site.ini", []byte(validFile))
	is.NoErr(err)
	sections := make(map[string]document.Section)
	for name, s := range f.Sections() {
		sections[name] = s
	}
	p := Progress{Model: "m", To: "m@2", Step: 2, State: Ramping}
	sections[ProgressSectionName("m")] = p.Section()
	next, err := NextSections(document.New(1, "c", sections), f)
	is.NoErr(err)
	is.Equal(next[ProgressSectionName("m")], p.Section())
}

// FuzzParse checks that no text makes Parse panic, and that the document made
// from a valid file is valid too.
func FuzzParse(f *testing.F) {
	f.Add(validFile)
	f.Add("[")
	f.Add("a = %(b)s\n[x y]\n")
	f.Fuzz(func(t *testing.T, text string) {
		_, file, err := Parse("fuzz.ini", []byte(text))
		if err != nil {
			return
		}
		if _, err := FromDocument(document.New(1, "c", file.Sections())); err != nil {
			t.Fatalf("valid as a file but not as a document: %v", err)
		}
	})
}
