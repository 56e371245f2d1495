package explain

import (
	"fmt"
	"io"
	"slices"
	"strconv"
	"text/tabwriter"
)

// modelStats is what the log tells of a model's answers.
type modelStats struct {
	answers, givenUp int
	// confidences are the model's own of its answers, ratios what its answers took to
	// begin against what was expected.
	confidences, timeRatios []float64
	// keptPoor counts answers that were kept though their opinion was under poorOpinion.
	keptPoor int
}

// poorConfidence is the opinion under which an answer is more likely poor than good: few of
// the largest model's are.
const poorConfidence = 0.5

// Models writes, for each model, how many answers it began, how many were given up and
// how many stood though poor by their own opinion, the quartiles of its opinions, and how
// far the expected time to the first of an answer was off.
func Models(w io.Writer, lines []*Line) error {
	models := make(map[string]*modelStats)
	last := make(map[string]*Line) // the newest attempt of each request at a VM
	of := func(l *Line) *modelStats {
		name := l.Value("model")
		if models[name] == nil {
			models[name] = &modelStats{}
		}
		return models[name]
	}
	for _, l := range lines {
		id := l.VM + " " + l.Value("request")
		switch l.Event {
		case "attempt":
			of(l).addAttempt(l)
			last[id] = l
		case "given-up":
			if a := last[id]; a != nil {
				of(a).givenUp++
				delete(last, id)
			}
		case "delivered":
			a := last[id]
			if opinion, ok := numberField(a, "confidence"); ok && opinion >= 0 && opinion < poorConfidence {
				of(a).keptPoor++
			}
			delete(last, id)
		}
	}
	return writeModels(w, models)
}

// addAttempt takes in an attempt whose answer has begun.
func (m *modelStats) addAttempt(l *Line) {
	m.answers++
	if opinion, ok := numberField(l, "confidence"); ok && opinion >= 0 {
		m.confidences = append(m.confidences, opinion)
	}
	if expected := millisField(l, "wait_ms") + millisField(l, "read_ms"); expected > 0 {
		m.timeRatios = append(m.timeRatios, float64(millisField(l, "first_ms"))/float64(expected))
	}
}

// numberField reads a field; false when the line or the field is missing, or is no number.
func numberField(l *Line, key string) (float64, bool) {
	if l == nil {
		return 0, false
	}
	n, err := strconv.ParseFloat(l.Value(key), 64)
	return n, err == nil
}

func writeModels(w io.Writer, models map[string]*modelStats) error {
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	for _, name := range sortedKeys(models) {
		m := models[name]
		_, err := fmt.Fprintf(t, "model %s\tanswers %d\tgiven up %s\tpoor and stood %s\topinions %s\ttook/expected %s\n",
			name, m.answers, percentage(m.givenUp, m.answers), percentage(m.keptPoor, m.answers), quartiles(m.confidences), quartiles(m.timeRatios))
		if err != nil {
			return err
		}
	}
	return t.Flush()
}

// quartiles returns the quartiles of some figures, "-" of none.
func quartiles(x []float64) string {
	if len(x) == 0 {
		return "-"
	}
	slices.Sort(x)
	at := func(q float64) float64 { return x[int(q*float64(len(x)-1))] }
	return fmt.Sprintf("%.2f %.2f %.2f", at(0.25), at(0.5), at(0.75))
}
