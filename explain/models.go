package explain

import (
	"fmt"
	"io"
	"slices"
	"strconv"
	"text/tabwriter"
)

// modelRecord is what the log tells of a model's answers.
type modelRecord struct {
	answers, givenUp int
	// opinions are the model's own of its answers, ratios what its answers took to
	// begin against what was expected.
	opinions, ratios []float64
	// stood counts answers that were kept though their opinion was under poorOpinion.
	stood int
}

// poorOpinion is the opinion under which an answer is more likely poor than good: few of
// the largest model's are.
const poorOpinion = 0.5

// Models writes, for each model, how many answers it began, how many were given up and
// how many stood though poor by their own opinion, the quartiles of its opinions, and how
// far the expected time to the first of an answer was off.
func Models(w io.Writer, lines []*Line) error {
	models := make(map[string]*modelRecord)
	last := make(map[string]*Line) // the newest attempt of each request at a VM
	of := func(l *Line) *modelRecord {
		name := l.Value("model")
		if models[name] == nil {
			models[name] = &modelRecord{}
		}
		return models[name]
	}
	for _, l := range lines {
		id := l.VM + " " + l.Value("request")
		switch l.Event {
		case "attempt":
			of(l).began(l)
			last[id] = l
		case "given-up":
			if a := last[id]; a != nil {
				of(a).givenUp++
				delete(last, id)
			}
		case "delivered":
			a := last[id]
			if opinion, ok := number(a, "confidence"); ok && opinion >= 0 && opinion < poorOpinion {
				of(a).stood++
			}
			delete(last, id)
		}
	}
	return writeModels(w, models)
}

// began takes in an attempt whose answer has begun.
func (m *modelRecord) began(l *Line) {
	m.answers++
	if opinion, ok := number(l, "confidence"); ok && opinion >= 0 {
		m.opinions = append(m.opinions, opinion)
	}
	if expected := millis(l, "wait_ms") + millis(l, "read_ms"); expected > 0 {
		m.ratios = append(m.ratios, float64(millis(l, "first_ms"))/float64(expected))
	}
}

// number reads a field; false when the line or the field is missing, or is no number.
func number(l *Line, key string) (float64, bool) {
	if l == nil {
		return 0, false
	}
	n, err := strconv.ParseFloat(l.Value(key), 64)
	return n, err == nil
}

func writeModels(w io.Writer, models map[string]*modelRecord) error {
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	for _, name := range sortedKeys(models) {
		m := models[name]
		_, err := fmt.Fprintf(t, "model %s\tanswers %d\tgiven up %s\tpoor and stood %s\topinions %s\ttook/expected %s\n",
			name, m.answers, part(m.givenUp, m.answers), part(m.stood, m.answers), quartiles(m.opinions), quartiles(m.ratios))
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
