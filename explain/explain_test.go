package explain

import (
	"strings"
	"testing"

	"github.com/matryer/is"

	"woaddoor/contract"
)

const requestSample = `
  19.9 vm-a time=2026-05-07T06:48:40Z level=info event=start vm=vm-a
other output
time=2026-05-07T06:48:41Z level=info event=configuration vm=vm-a version=7 revision=30 from=store
time=2026-05-07T06:48:41Z level=info event=configuration vm=vm-b version=7 revision=30 from=vm-a
time=2026-05-07T06:48:42Z level=info event=upstream vm=vm-a upstream=u1 gone=false leaving=true revision=31
time=2026-05-07T06:48:43.5Z level=info event=retry vm=vm-a request=r1 upstream=u1 sends=1 why="upstream is silent"
time=2026-05-07T06:48:44Z level=warn event=refused vm=vm-a request=r1 upstream=u2 reason=no-upstream detail="no upstream"
time=2026-05-07T06:48:44Z level=info event=delivered vm=vm-b request=r2
`

// readSample parses requestSample and sorts its lines.
func readSample(t *testing.T) []*Line {
	t.Helper()
	lines, skipped, err := Read(strings.NewReader(requestSample))
	is := is.New(t)
	is.NoErr(err)
	is.Equal(skipped, 2) // an empty line and a line of other output
	Sort(lines)
	return lines
}

// TestRequestShowsKnownState checks that each step of a request is printed with the
// states that were known to its VM, and without those known to other VMs.
func TestRequestShowsKnownState(t *testing.T) {
	is := is.New(t)
	var out strings.Builder
	found, err := Request(&out, readSample(t), "r1")
	is.NoErr(err)
	is.True(found)
	for _, want := range []string{
		`vm-a retry upstream=u1 sends=1 why="upstream is silent"`,
		"believed configuration since 06:48:41.000 (2.5s before) version=7 revision=30 from=store",
		"believed upstream since 06:48:42.000 (1.5s before) leaving=true gone=false revision=31",
		"vm-a refused upstream=u2 reason=no-upstream",
	} {
		is.True(strings.Contains(out.String(), want))
	}
	is.True(!strings.Contains(out.String(), "vm-b")) // the state of another VM
	found, err = Request(&out, readSample(t), "r9")
	is.NoErr(err)
	is.True(!found)
}

// TestChangesListsEachChangeOnce checks that each change of an object is printed once.
func TestChangesListsEachChangeOnce(t *testing.T) {
	is := is.New(t)
	var out strings.Builder
	is.NoErr(Changes(&out, readSample(t)))
	is.Equal(strings.Count(out.String(), "configuration version=7"), 1)
	is.True(strings.Contains(out.String(), "upstream upstream=u1"))
	is.True(!strings.Contains(out.String(), "refused"))
}

const upstreamStateSample = `time=2026-05-07T06:48:41Z level=info event=upstream vm=vm-a upstream=u1 gone=false leaving=false revision=31
time=2026-05-07T06:48:42Z level=info event=upstream-rests vm=vm-a upstream=u1 born=7 request=r0 status=503 for=3s asked=3s
time=2026-05-07T06:48:43Z level=info event=upstream-leaves vm=vm-a upstream=u1 born=7 request=r0 status=200 listed_leaving=false
time=2026-05-07T06:48:44Z level=warn event=refused vm=vm-a request=r1 upstream=u1 reason=upstreams-rest detail="none of 1 upstreams ..."
`

// TestRequestShowsUpstreamState checks that a refusal is printed with the states that the
// upstream reported about itself, and with its entry in the upstream list.
func TestRequestShowsUpstreamState(t *testing.T) {
	is := is.New(t)
	explained, changes, losses := explainSample(t, upstreamStateSample, "r1")
	for _, want := range []string{
		"believed upstream since 06:48:41.000 (3s before) leaving=false gone=false revision=31",
		"believed upstream-rests since 06:48:42.000 (2s before) born=7 for=3s asked=3s status=503",
		"believed upstream-leaves since 06:48:43.000 (1s before) born=7 listed_leaving=false status=200",
	} {
		is.True(strings.Contains(explained, want))
	}
	is.Equal(strings.Count(changes, "upstream-"), 2)
	is.True(strings.Contains(losses, "refused: upstreams-rest"))
}

const limitSample = `time=2026-05-07T06:48:41Z level=info event=upstream-limit vm=vm-b upstream=u1 born=7 version=1 named=true per_second=1.6 request=r0 status=200
time=2026-05-07T06:48:41.1Z level=info event=upstream-limit vm=vm-a upstream=u1 born=7 version=1 named=true per_second=1.6 peer=vm-b
time=2026-05-07T06:48:44Z level=warn event=refused vm=vm-a request=r1 upstream=u1 reason=upstreams-at-limit detail="none of 1 upstreams ..."
`

// TestRequestShowsUpstreamLimit checks that a refusal is printed with the rate limit that
// another VM reported, and that each change of a limit is printed once.
func TestRequestShowsUpstreamLimit(t *testing.T) {
	is := is.New(t)
	explained, changes, losses := explainSample(t, limitSample, "r1")
	is.True(strings.Contains(explained, "believed upstream-limit since 06:48:41.100 (2.9s before) born=7 version=1 named=true per_second=1.6 peer=vm-b"))
	is.Equal(strings.Count(changes, "upstream-limit"), 1)
	is.True(strings.Contains(losses, "refused: upstreams-at-limit"))
}

// explainSample returns the output of Request, Changes and Losses for log lines.
func explainSample(t *testing.T, sample string, request contract.RequestID) (explained, changes, losses string) {
	t.Helper()
	is := is.New(t)
	lines, _, err := Read(strings.NewReader(sample))
	is.NoErr(err)
	var e, c, l strings.Builder
	_, err = Request(&e, lines, request)
	is.NoErr(err)
	is.NoErr(Changes(&c, lines))
	is.NoErr(Losses(&l, lines))
	return e.String(), c.String(), l.String()
}

const quarantineSample = `time=2026-05-07T06:48:41Z level=warn event=request-held vm=vm-a print=aa01 route=r workspace=w1 by=vm-b first_seen_by=vm-b ended=u1,u2,u3 epoch=0
time=2026-05-07T06:48:41.1Z level=warn event=request-held vm=vm-b print=aa01 route=r workspace=w1 by=own first_seen_by=vm-b ended=u1,u2,u3 epoch=0
time=2026-05-07T06:48:42Z level=warn event=request-held vm=vm-a print=bb02 route=r workspace=w2 by=own first_seen_by=vm-a ended=u4,u5,u6 epoch=0
time=2026-05-07T06:48:44Z level=warn event=refused vm=vm-a request=r1 reason=request-held print=aa01
time=2026-05-07T06:48:45Z level=warn event=refused vm=vm-a request=r2 reason=no-upstream
`

// TestRequestShowsQuarantinedContent checks that a refusal is printed with the upstreams that
// crashed on the request's content, without those of other contents, and that each
// quarantined content is listed once among the changes.
func TestRequestShowsQuarantinedContent(t *testing.T) {
	is := is.New(t)
	lines, _, err := Read(strings.NewReader(quarantineSample))
	is.NoErr(err)
	Sort(lines)
	var out strings.Builder
	_, err = Request(&out, lines, "r1")
	is.NoErr(err)
	is.True(strings.Contains(out.String(), "believed request-held since 06:48:41.000 (3s before) print=aa01 ended=u1,u2,u3 first_seen_by=vm-b by=vm-b workspace=w1 route=r"))
	out.Reset()
	_, err = Request(&out, lines, "r2")
	is.NoErr(err)
	is.True(!strings.Contains(out.String(), "request-held"))
	out.Reset()
	is.NoErr(Changes(&out, lines))
	is.Equal(strings.Count(out.String(), "print=aa01"), 1)
	is.Equal(strings.Count(out.String(), "print=bb02"), 1)
}
