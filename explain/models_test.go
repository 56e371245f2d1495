package explain

import (
	"strings"
	"testing"

	"github.com/matryer/is"
)

const modelSample = `
time=2026-05-07T06:48:40Z event=attempt vm=a request=r1 model=small wait_ms=10 read_ms=40 first_ms=100 confidence=0.2
time=2026-05-07T06:48:40Z event=given-up vm=a request=r1
time=2026-05-07T06:48:43Z event=attempt vm=a request=r1 model=large wait_ms=0 read_ms=400 first_ms=400 confidence=0.9
time=2026-05-07T06:48:44Z event=delivered vm=a request=r1 route=chat
time=2026-05-07T06:48:40Z event=attempt vm=b request=r2 model=small wait_ms=0 read_ms=0 first_ms=30 confidence=0.4
time=2026-05-07T06:48:44Z event=delivered vm=b request=r2 route=chat
time=2026-05-07T06:48:40Z event=attempt vm=b request=r3 model=small wait_ms=0 read_ms=50 first_ms=50 confidence=0.8
time=2026-05-07T06:48:44Z event=delivered vm=b request=r3 route=chat
time=2026-05-07T06:48:44Z event=delivered vm=b request=r4 route=page
time=2026-05-07T06:48:40Z event=attempt vm=b request=r5 model=small wait_ms=0 read_ms=50 first_ms=75 confidence=-1
`

// TestModelsSummarizesAnswers checks the statistics printed for each model: discarded
// answers, poor answers that were delivered, confidences, and time ratios.
func TestModelsSummarizesAnswers(t *testing.T) {
	is := is.New(t)
	lines, _, err := Read(strings.NewReader(modelSample))
	is.NoErr(err)
	var out strings.Builder
	is.NoErr(Models(&out, lines))
	got := strings.Split(strings.TrimRight(out.String(), "\n"), "\n")
	is.Equal(len(got), 2)
	is.Equal(strings.Join(strings.Fields(got[0]), " "), "model large answers 1 given up 0.0% poor and stood 0.0% opinions 0.90 0.90 0.90 took/expected 1.00 1.00 1.00")
	is.Equal(strings.Join(strings.Fields(got[1]), " "), "model small answers 4 given up 25.0% poor and stood 25.0% opinions 0.20 0.40 0.40 took/expected 1.00 1.50 1.50")
}
