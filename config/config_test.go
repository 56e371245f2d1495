package config

import (
	"errors"
	"strings"
	"testing"

	"github.com/matryer/is"

	"woaddoor/document"
)

const key = "0000000000000000000000000000000000000000000000000000000000000000"

const good = `[workspace norte]
key-hash = ` + key + `
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

func TestGoodFile(t *testing.T) {
	is := is.New(t)
	c, _, err := Parse("site.ini", []byte(good))
	is.NoErr(err)
	is.Equal(c.Versions["m@2"].State, Draining)
	is.Equal(c.Rollouts["m"].Steps, []float64{1, 50, 100})
	w, ok := c.ByKey(key)
	is.True(ok)
	is.Equal(string(w.ID), "norte")
}

// TestFaults checks that each wrong file gets an error that names its file,
// line and key, and says what was expected.
func TestFaults(t *testing.T) {
	for name, c := range map[string]struct{ old, new, want string }{
		"unknown key":         {"serve = m@1", "serve = m@1\nserv = m@1", "site.ini:7: [model m] serv: is not known here"},
		"wrong unit":          {"30s", "30", "site.ini:12: [version m@2] serve-without-word: is \"30\": expected a duration with a unit"},
		"too long":            {"30s", "72h", "site.ini:12: [version m@2] serve-without-word: is 72h0m0s: expected at most 48h0m0s"},
		"no such version":     {"serve = m@1", "serve = m@9", "site.ini:6: [model m] serve: names m@9, which has no section"},
		"empty permission":    {"allow = m@1, m@2", "allow =", "site.ini:3: [workspace norte] allow: is missing or empty"},
		"unknown section":     {"[model m]", "[modle m]", "site.ini:5: [modle m] is not known"},
		"twice":               {"serve = m@1", "serve = m@1\nserve = m@2", "site.ini:7: [model m] serve: stands already at line 6"},
		"no line":             {"[version m@1]", "[version m@1]\nnonsense", "site.ini:9: expected \"key = value\""},
		"falling steps":       {"1%, 50%", "50%, 1%", "site.ini:17: [rollout m] steps: has \"1%\": expected rising"},
		"system section":      {"[model m]", "[progress m]\nto = m@2\n\n[model m]", "site.ini:5: [progress m] is kept by the system"},
		"not a state":         {"draining", "drained", "site.ini:11: [version m@2] state: is \"drained\": expected one of"},
		"version of no model": {"[version m@1]", "[version x@1]\n[version m@1]", "site.ini:8: [version x@1] is of model x"},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			text := strings.Replace(good, c.old, c.new, 1)
			is.True(text != good)
			_, _, err := Parse("site.ini", []byte(text))
			var faults Faults
			is.True(errors.As(err, &faults))
			if !strings.Contains(err.Error(), c.want) {
				t.Fatalf("want %q in:\n%s", c.want, err)
			}
		})
	}
}

// TestWithdrawnStaysWithdrawn shows that an older file cannot undo a
// withdrawal, neither by its state nor by leaving the version out.
func TestWithdrawnStaysWithdrawn(t *testing.T) {
	is := is.New(t)
	withdrawn := strings.Replace(good, "state = draining", "state = withdrawn", 1)
	_, f, err := Parse("site.ini", []byte(withdrawn))
	is.NoErr(err)
	accepted := document.New(1, "c", f.Sections())
	_, older, err := Parse("older.ini", []byte(good))
	is.NoErr(err)
	_, err = Successor(accepted, older)
	is.True(err != nil)
	is.True(strings.Contains(err.Error(), "older.ini:11: [version m@2] state: was withdrawn before"))
	sections, err := Successor(accepted, f)
	is.NoErr(err)
	is.Equal(len(sections), 5)
}

// TestProgressOutlivesFile shows that a file does not undo what the system
// keeps of a roll-out that goes on.
func TestProgressOutlivesFile(t *testing.T) {
	is := is.New(t)
	_, f, err := Parse("site.ini", []byte(good))
	is.NoErr(err)
	sections := make(map[string]document.Section)
	for name, s := range f.Sections() {
		sections[name] = s
	}
	p := Progress{Model: "m", To: "m@2", Step: 2, State: Ramping}
	sections[ProgressSection("m")] = p.Text()
	next, err := Successor(document.New(1, "c", sections), f)
	is.NoErr(err)
	is.Equal(next[ProgressSection("m")], p.Text())
}

// FuzzParse checks that no text makes Parse panic, and that what passes the
// check has the same meaning as the document it becomes.
func FuzzParse(f *testing.F) {
	f.Add(good)
	f.Add("[")
	f.Add("a = %(b)s\n[x y]\n")
	f.Fuzz(func(t *testing.T, text string) {
		_, file, err := Parse("fuzz.ini", []byte(text))
		if err != nil {
			return
		}
		if _, err := FromDocument(document.New(1, "c", file.Sections())); err != nil {
			t.Fatalf("passes as a file and not as a document: %v", err)
		}
	})
}
