package quarantine

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"woaddoor/contract"
	"woaddoor/link"
)

var start = time.Unix(1000, 0)

func at(ms int) time.Time { return start.Add(time.Duration(ms) * time.Millisecond) }

func end(upstream string, sent, broke int) End {
	return End{contract.Life{Upstream: contract.UpstreamID(upstream), Born: 1}, at(sent), at(broke)}
}

// TestHeldAfterThree follows a content through three upstreams, each of which it was sent
// to after the one before it had ended.
func TestHeldAfterThree(t *testing.T) {
	is := is.New(t)
	table, p := NewTable(), Print{1}
	is.True(table.Empty())
	is.True(table.End(p, About{}, end("u1", 0, 40), at(40)))
	is.True(table.End(p, About{}, end("u2", 100, 140), at(140)))
	is.True(!table.Bars(p, at(145)))
	is.Equal(table.Ended(p), 2)
	is.True(table.End(p, About{}, end("u3", 200, 240), at(240)))
	is.True(table.Bars(p, at(241)))
	is.True(!table.Bars(Print{2}, at(241))) // another content
	is.Equal(table.Held(), 1)
}

// TestWhatIsNoProof lists ends that do not hold a content: of upstreams that end together,
// of one upstream that is told twice, and with an answer between.
func TestWhatIsNoProof(t *testing.T) {
	p := Print{1}
	for name, ends := range map[string][]End{
		"a data centre ends":      {end("u1", 0, 40), end("u2", 5, 41), end("u3", 8, 42), end("u4", 9, 43)},
		"pages end with it":       {end("u1", 0, 40), end("u2", 20, 60), end("u3", 40, 80), end("u4", 60, 100)},
		"ran at all of them":      {end("u1", 0, 1000), end("u2", 10, 2000), end("u3", 20, 3000)},
		"one life, told by three": {end("u1", 0, 40), end("u1", 100, 140), end("u1", 200, 240)},
		"two":                     {end("u1", 0, 40), end("u2", 100, 140)},
	} {
		t.Run(name, func(t *testing.T) {
			table := NewTable()
			for _, e := range ends {
				table.End(p, About{}, e, at(4000))
			}
			is.New(t).True(!table.Bars(p, at(4001)))
		})
	}
	t.Run("an answer between", func(t *testing.T) {
		is := is.New(t)
		table := NewTable()
		table.End(p, About{}, end("u1", 0, 40), at(40))
		table.End(p, About{}, end("u2", 100, 140), at(140))
		is.True(table.Answered(p, at(150)))
		is.True(!table.Answered(p, at(151))) // nothing speaks against it any more
		table.End(p, About{}, end("u3", 200, 240), at(240))
		is.True(!table.Bars(p, at(241)))
	})
}

// drawTold draws what another VM may tell of a content: of mostEnds lives in all.
func drawTold(t *rapid.T, label string) Told {
	out := Told{Print: Print{1}, Epoch: uint32(rapid.IntRange(0, 2).Draw(t, label+"epoch")), Held: rapid.IntRange(0, 9).Draw(t, label+"held") == 0}
	for _, life := range rapid.SliceOfNDistinct(rapid.IntRange(0, mostEnds-1), 0, mostEnds, rapid.ID[int]).Draw(t, label+"lives") {
		broke := rapid.IntRange(0, 20).Draw(t, fmt.Sprint(label, "broke", life))
		out.Ends = append(out.Ends, ToldEnd{
			contract.Life{Upstream: contract.UpstreamID(fmt.Sprint("u", life)), Born: 1},
			time.Duration(broke+rapid.IntRange(1, 5).Draw(t, fmt.Sprint(label, "ran", life))) * time.Second, time.Duration(broke) * time.Second,
		})
	}
	return out
}

// TestWords draws words that two VMs hear in unlike orders, each word twice: what is known
// is bounded, a word heard again is no news, what is held stays held within its epoch, the
// ends do not hang on the order of words until it is held, and once the two tell each other they agree.
func TestWords(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		a, b := drawTold(t, "a"), drawTold(t, "b")
		one, other := heard(t, a, b), heard(t, b, a)
		x, y := told(one), told(other)
		if x.Epoch != y.Epoch || !x.Held && !y.Held && !slices.Equal(x.Ends, y.Ends) {
			t.Fatalf("%+v in one order, %+v in the other", x, y)
		}
		one.Hear([]Told{y}, start)
		other.Hear([]Told{x}, start)
		if x, y = told(one), told(other); x.Held != y.Held {
			t.Fatalf("%+v and %+v after they have told each other", x, y)
		}
	})
}

// heard returns a table that has heard words, and checks what holds after each.
func heard(t *rapid.T, words ...Told) *Table {
	table := NewTable()
	for _, w := range words {
		before := told(table)
		table.Hear([]Told{w}, start)
		if len(table.Hear([]Told{w}, start)) > 0 {
			t.Fatal("a word heard again is news")
		}
		after := told(table)
		if before.Held && before.Epoch == after.Epoch && !after.Held {
			t.Fatal("released by a word of its epoch")
		}
		if len(after.Ends) > mostEnds {
			t.Fatal("more ends than are remembered")
		}
		if held := table.Held() == 1; held != after.Held {
			t.Fatalf("%d are said to be held", table.Held())
		}
	}
	return table
}

// told returns what a table knows of the content that is drawn.
func told(table *Table) Told {
	if c := table.Case(Print{1}); c != nil {
		return c.told(start)
	}
	return Told{}
}

// TestTableIsBounded has a million contents each end an upstream, and one be held: the
// table keeps to its bound, and the held one stays.
func TestTableIsBounded(t *testing.T) {
	is := is.New(t)
	table, guilty := NewTable(), Print{0xff, 0xff, 0xff, 0xff}
	for n, name := range []string{"u1", "u2", "u3"} {
		table.End(guilty, About{}, end(name, n*100, n*100+40), at(n*100+40))
	}
	for n := range 3 * mostCases {
		table.End(Print{byte(n), byte(n >> 8), byte(n >> 16)}, About{}, end("u", 1000+n, 1001+n), at(1001+n))
	}
	is.True(len(table.cases) <= mostCases)
	is.True(table.Bars(guilty, at(1_000_000)))
	is.True(len(table.Told(at(1001+3*mostCases))) <= mostTold)
	table.Expire(start.Add(time.Hour))
	is.Equal(len(table.cases), 1)
}

// TestToldOnTheLink checks that a word comes out of its codec as it went in, and how long
// it is: 24 contents fit into two packets.
func TestToldOnTheLink(t *testing.T) {
	is := is.New(t)
	table := NewTable()
	about := About{"service-name", "workspace", "route-name", "vm-of-a-data-centre-1"}
	for n := range mostTold {
		for k := range 3 {
			table.End(Print{byte(n)}, about, end(fmt.Sprint("i-0123456789", k), k*100, k*100+40), at(400))
		}
	}
	told := table.Told(at(500))
	raw, err := link.Encode(told)
	is.NoErr(err)
	var back []Told
	is.NoErr(link.Decode(raw, &back))
	is.Equal(back, told)
	is.True(len(raw)/mostTold < 200) // with three ends each
	t.Logf("%d bytes for %d contents", len(raw), mostTold)
}

// TestTrials follows a held content through its trials: none before the store knows it,
// one at a time, by the VM that was granted it, twice in all.
func TestTrials(t *testing.T) {
	is := is.New(t)
	table, p := NewTable(), Print{1}
	for n, name := range []string{"u1", "u2", "u3"} {
		table.End(p, About{}, end(name, n*100, n*100+40), at(n*100+40))
	}
	now := start.Add(time.Hour)
	is.True(table.Bars(p, now))
	is.Equal(len(table.TrialsWanted()), 0) // the store could not grant it
	is.Equal(len(table.ToStore()), 1)
	for n, after := range trialAfter {
		table.Listed(Held{Print: p, Trials: n, Revision: contract.Revision(5 + n)}, now)
		is.Equal(len(table.ToStore()), 0)
		is.True(table.Bars(p, now.Add(after-1)))
		is.Equal(len(table.TrialsWanted()), 0)
		now = now.Add(after)
		is.True(table.Bars(p, now))
		wanted := table.TrialsWanted()
		is.Equal(len(wanted), 1)
		is.Equal(wanted[0].Trials, n+1)
		table.Granted(p, true, now)
		is.True(!table.Bars(p, now)) // the trial
		is.True(table.Bars(p, now))
	}
	table.Listed(Held{Print: p, Trials: len(trialAfter), Revision: 9}, now)
	is.True(table.Bars(p, now.Add(24*time.Hour)))
	is.Equal(len(table.TrialsWanted()), 0)
}

// TestRelease lets a content go by the store's word, by an answer, and not by a list that
// is older than its object.
func TestRelease(t *testing.T) {
	is := is.New(t)
	table, p := NewTable(), Print{1}
	table.Listed(Held{Print: p, Revision: 5}, at(0))
	is.True(table.Bars(p, at(1)))
	is.True(!table.Unlisted(p, 4, at(1)))
	is.True(table.Bars(p, at(1)))
	is.Equal(table.ListedButFor(map[Print]bool{}), []Print{p})
	is.True(table.Unlisted(p, 6, at(2)))
	is.True(!table.Bars(p, at(3)))
	table.Listed(Held{Print: p, Revision: 5}, at(4)) // late word of the object
	is.True(!table.Bars(p, at(5)))
	table.Hear([]Told{{Print: p, Held: true}}, at(6)) // late word of another VM
	is.True(!table.Bars(p, at(7)))

	table.Listed(Held{Print: p, Revision: 7}, at(8))
	is.True(table.Answered(p, at(9)))
	is.True(!table.Bars(p, at(10)))
	is.Equal(len(table.ToErase()), 1)
	is.True(!table.Unlisted(p, 8, at(11))) // cleared before
	is.Equal(len(table.ToErase()), 0)
}
