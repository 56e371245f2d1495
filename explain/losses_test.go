package explain

import (
	"strings"
	"testing"

	"github.com/matryer/is"
)

const lossSample = `
time=2026-05-07T06:48:40Z event=attempt vm=a request=r1 model=small wait_ms=10 read_ms=50 first_ms=70
time=2026-05-07T06:48:40Z event=given-up vm=a request=r1
time=2026-05-07T06:48:43Z event=attempt vm=a request=r1 model=large wait_ms=100 read_ms=400 first_ms=2500
time=2026-05-07T06:48:44Z event=delivered vm=a request=r1 route=chat status=200 objective_ms=2000 first_ms=2580
time=2026-05-07T06:48:43Z event=attempt vm=b request=r2 model=large wait_ms=0 read_ms=2400 first_ms=2500
time=2026-05-07T06:48:44Z event=delivered vm=b request=r2 route=chat status=200 objective_ms=2000 first_ms=2510
time=2026-05-07T06:48:44Z event=delivered vm=b request=r3 route=chat status=200 objective_ms=2000 first_ms=1510
time=2026-05-07T06:48:44Z event=refused vm=b request=r4 route=chat status=0 objective_ms=2000 reason=deadline
time=2026-05-07T06:48:44Z event=retry vm=b request=r5
time=2026-05-07T06:48:44Z event=delivered vm=b request=r5 route=page status=200 objective_ms=300 first_ms=900
time=2026-05-07T06:48:44Z event=delivered vm=b request=r6 route=page status=500 objective_ms=300 first_ms=30
time=2026-05-07T06:48:44Z event=retry vm=b request=r7
`

// TestLossesCountsOneCausePerRequest checks that each lost request counts under one
// cause, that the counts add up, and that a request without an outcome is omitted.
func TestLossesCountsOneCausePerRequest(t *testing.T) {
	is.New(t).Equal(lossLines(t, lossSample), []string{
		"chat asked 4 in time 1 25.0%",
		"late: its prompt was read 1 25.0%",
		"late: waited at the engine 1 25.0%",
		"refused: deadline 1 25.0%",
		"page asked 2 in time 0 0.0%",
		"failed: the upstream's own answer 1 50.0%",
		"late: another attempt had failed first 1 50.0%",
	})
}

// TestLossesCountsForwardedRequestOnce checks that a request counts at the VM of its caller alone, and
// not at the VM that has served it for that VM.
func TestLossesCountsForwardedRequestOnce(t *testing.T) {
	is.New(t).Equal(lossLines(t, `
time=2026-05-07T06:48:43Z event=delivered vm=b request=r1 route=chat status=200 objective_ms=2000 forwarded=true first_ms=90
time=2026-05-07T06:48:43Z event=delivered vm=a request=r1 route=chat status=200 objective_ms=2000 via=b first_ms=95
`), []string{"chat asked 1 in time 1 100.0%"})
}

// lossLines returns the lines that Losses prints for a log, with single spaces between columns.
func lossLines(t *testing.T, log string) []string {
	t.Helper()
	is := is.New(t)
	lines, _, err := Read(strings.NewReader(log))
	is.NoErr(err)
	var out strings.Builder
	is.NoErr(Losses(&out, lines))
	var printed []string
	for _, l := range strings.Split(strings.TrimRight(out.String(), "\n"), "\n") {
		printed = append(printed, strings.Join(strings.Fields(l), " "))
	}
	return printed
}
