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

const testKeyHash = "0000000000000000000000000000000000000000000000000000000000000000"

// testFile returns a configuration file with the given serve-without-word time.
func testFile(serveWithoutWord string) []byte {
	return fmt.Appendf(nil, "[workspace w]\nkey-hash = %s\nallow = m@1\n\n[model m]\nserve = m@1\n\n[version m@1]\nserve-without-word = %s\n", testKeyHash, serveWithoutWord)
}

var startTime = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

// newTestOperator returns an operator on an empty stand-in store, and its clock.
func newTestOperator() (*Operator, *standin.Store, *time.Time) {
	store := standin.New()
	view := store.View("operator")
	now := startTime
	return &Operator{Store: view, VMs: view, Now: func() time.Time { return now }}, store, &now
}

func testAuthor(who string, at time.Time) history.ChangeInfo {
	return history.ChangeInfo{Author: who, Reason: "test", At: at}
}

// TestApplyRefusesStaleFile checks that Apply refuses a file based on an older
// revision, or on none, because it would undo another operator's change.
func TestApplyRefusesStaleFile(t *testing.T) {
	is := is.New(t)
	o, _, now := newTestOperator()
	ctx := t.Context()
	_, err := o.Apply(ctx, "site.ini", testFile("10s"), -1, testAuthor("ana", *now))
	is.NoErr(err)
	anasFile, err := o.Show(ctx) // ana's copy is based on revision 1
	is.NoErr(err)
	_, err = o.Apply(ctx, "site.ini", testFile("20s"), 1, testAuthor("ben", *now))
	is.NoErr(err)

	_, err = o.Apply(ctx, "site.ini", []byte(strings.Replace(anasFile, "10s", "30s", 1)), -1, testAuthor("ana", *now))
	var stale *StaleError
	is.True(errors.As(err, &stale))
	is.Equal(stale.NewerChanges[0].Author, "ben")
	is.True(strings.Contains(err.Error(), "version m@1"))
	_, err = o.Apply(ctx, "site.ini", testFile("30s"), -1, testAuthor("ana", *now))
	is.True(errors.Is(err, ErrNoBaseRevision))
	shown, err := o.Show(ctx)
	is.NoErr(err)
	is.True(strings.Contains(shown, "20s")) // ben's change is kept
}

// TestWithdrawAfterLostReply checks that a withdrawal takes effect exactly once when
// the store's reply to a write is lost, and that an unknown version is refused.
func TestWithdrawAfterLostReply(t *testing.T) {
	is := is.New(t)
	o, st, now := newTestOperator()
	ctx := t.Context()
	_, err := o.Apply(ctx, "site.ini", testFile("10s"), -1, testAuthor("ana", *now))
	is.NoErr(err)
	st.SetFaults(standin.Faults{DropReplies: 1})
	_, err = o.Withdraw(ctx, "m@1", testAuthor("ben", *now))
	if err != nil { // the reply was lost before the root was written; repeating is safe
		_, err = o.Withdraw(ctx, "m@1", testAuthor("ben", *now))
	}
	is.NoErr(err)
	shown, err := o.Show(ctx)
	is.NoErr(err)
	is.True(strings.Contains(shown, "state = withdrawn"))
	changes, err := o.History(ctx, 10)
	is.NoErr(err)
	is.Equal(len(changes), 2)
	_, err = o.Withdraw(ctx, "m@7", testAuthor("ben", *now))
	is.True(errors.Is(err, ErrUnknownVersion))
}

// TestInForceAfterOlderConfigurationsExpire checks that a revision counts as in force
// everywhere only after every older configuration has expired. A configuration expires
// when its serve-without-word time has passed since the next one was accepted.
func TestInForceAfterOlderConfigurationsExpire(t *testing.T) {
	is := is.New(t)
	o, st, now := newTestOperator()
	ctx := t.Context()
	st.SetVMs([]contract.VMEntry{{ID: "a", DataCentre: "d", State: contract.VMLive}})
	_, err := o.Apply(ctx, "site.ini", testFile("1h"), -1, testAuthor("ana", *now))
	is.NoErr(err)
	*now = startTime.Add(time.Minute)
	_, err = o.Apply(ctx, "site.ini", testFile("10s"), 1, testAuthor("ana", *now))
	is.NoErr(err)
	*now = startTime.Add(2 * time.Minute)
	root, err := o.Withdraw(ctx, "m@1", testAuthor("ana", *now))
	is.NoErr(err)
	status, err := o.RevisionStatus(ctx, root)
	is.NoErr(err)
	// A VM that receives no update after revision 1 may act on it for an hour after
	// revision 2 was accepted.
	is.Equal(status.EnforcedAt, startTime.Add(time.Minute+time.Hour+maxClockSkew))
	is.Equal(status.Pending[0].VM, contract.VMID("a"))
	is.True(!status.InForceEverywhere(*now))
	is.True(status.InForceEverywhere(status.EnforcedAt.Add(time.Second)))
}
