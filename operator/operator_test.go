package operator

import (
	"errors"
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"woaddoor/contract"
	"woaddoor/history"
	standin "woaddoor/internal/standin/store"
)

const key = "0000000000000000000000000000000000000000000000000000000000000000"

func file(word string) []byte {
	return fmt.Appendf(nil, "[workspace w]\nkey-hash = %s\nallow = m@1\n\n[model m]\nserve = m@1\n\n[version m@1]\nserve-without-word = %s\n", key, word)
}

var start = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

func setup() (*Operator, *standin.Store, *time.Time) {
	store := standin.New()
	view := store.View("operator")
	now := start
	return &Operator{Store: view, VMs: view, Now: func() time.Time { return now }}, store, &now
}

func by(who string, at time.Time) history.Author {
	return history.Author{Who: who, Why: "test", At: at}
}

// TestOlderFileIsRefused shows the naive way, a file that replaces whatever is
// accepted, undoing another operator's change, and that Apply refuses it.
func TestOlderFileIsRefused(t *testing.T) {
	is := is.New(t)
	o, _, now := setup()
	ctx := t.Context()
	_, err := o.Apply(ctx, "site.ini", file("10s"), -1, by("ana", *now))
	is.NoErr(err)
	mine, err := o.Show(ctx) // ana's copy, from revision 1
	is.NoErr(err)
	_, err = o.Apply(ctx, "site.ini", file("20s"), 1, by("ben", *now))
	is.NoErr(err)

	_, err = o.Apply(ctx, "site.ini", []byte(strings.Replace(mine, "10s", "30s", 1)), -1, by("ana", *now))
	var stale *StaleError
	is.True(errors.As(err, &stale))
	is.Equal(stale.Since[0].Who, "ben")
	is.True(strings.Contains(err.Error(), "version m@1"))
	_, err = o.Apply(ctx, "site.ini", file("30s"), -1, by("ana", *now))
	is.True(errors.Is(err, ErrNoBase))
	shown, err := o.Show(ctx)
	is.NoErr(err)
	is.True(strings.Contains(shown, "20s")) // ben's change stands
}

// TestWithdrawRaces withdraws while others change the configuration, and loses
// a reply: the withdrawal is in, once, and so are the others' changes.
func TestWithdrawRaces(t *testing.T) {
	is := is.New(t)
	o, st, now := setup()
	ctx := t.Context()
	_, err := o.Apply(ctx, "site.ini", file("10s"), -1, by("ana", *now))
	is.NoErr(err)
	st.SetFaults(standin.Faults{LoseReplies: 1})
	_, err = o.Withdraw(ctx, "m@1", by("ben", *now))
	if err != nil { // a lost reply before the root: said so, and safe to repeat
		_, err = o.Withdraw(ctx, "m@1", by("ben", *now))
	}
	is.NoErr(err)
	shown, err := o.Show(ctx)
	is.NoErr(err)
	is.True(strings.Contains(shown, "state = withdrawn"))
	changes, err := o.History(ctx, 10)
	is.NoErr(err)
	is.Equal(len(changes), 2)
	_, err = o.Withdraw(ctx, "m@7", by("ben", *now))
	is.True(errors.Is(err, ErrNoVersion))
}

// TestSureAt checks the end that apply states: every earlier configuration
// counts, from when its successor was accepted, with its own time without word.
func TestSureAt(t *testing.T) {
	is := is.New(t)
	o, st, now := setup()
	ctx := t.Context()
	st.SetVMs([]contract.VMEntry{{ID: "a", DataCentre: "d", State: contract.VMLive}})
	_, err := o.Apply(ctx, "site.ini", file("1h"), -1, by("ana", *now))
	is.NoErr(err)
	*now = start.Add(time.Minute)
	_, err = o.Apply(ctx, "site.ini", file("10s"), 1, by("ana", *now))
	is.NoErr(err)
	*now = start.Add(2 * time.Minute)
	root, err := o.Withdraw(ctx, "m@1", by("ana", *now))
	is.NoErr(err)
	f, err := o.Force(ctx, root)
	is.NoErr(err)
	// A VM cut off under revision 1 may serve for an hour from the second on.
	is.Equal(f.SureAt, start.Add(time.Minute+time.Hour+clockSlack))
	is.Equal(f.Pending[0].VM, contract.VMID("a"))
	is.True(!f.Everywhere(*now))
	is.True(f.Everywhere(f.SureAt.Add(time.Second)))
}
