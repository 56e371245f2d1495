package explain

import (
	"fmt"
	"io"
	"slices"
	"strconv"
	"text/tabwriter"
)

// modelStats collects statistics of a model's answers. escalated counts the answers that
// were discarded for the answer of a larger model.
type modelStats struct {
	answers, escalated int
	// confidences are the confidences that the model reported about its answers.
	// timeRatios holds, for each answer, the actual time until the answer began,
	// divided by the expected time.
	confidences, timeRatios []float64
	// deliveredPoor counts answers that were delivered with a confidence below poorConfidence.
	deliveredPoor int
}

// poorConfidence is the confidence below which an answer is more likely poor than
// good. Few answers of the largest model have a confidence below poorConfidence.
const poorConfidence = 0.5

// Models prints, for each model, how many answers the model began, how many of its answers
// were discarded for the answer of a larger model, how many were delivered though the model's
// confidence was poor, and the quartiles of the model's confidence. Models also prints the
// quartiles of a ratio: the actual time until an answer began, divided by the expected time.
func Models(w io.Writer, lines []*Line) error {
	models := make(map[string]*modelStats)
	last := make(map[string]*Line) // the latest attempt of each request at a VM
	statsOf := func(l *Line) *modelStats {
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
			statsOf(l).addAttempt(l)
			last[id] = l
		case "given-up":
			if a := last[id]; a != nil {
				statsOf(a).escalated++
				delete(last, id)
			}
		case "delivered":
			a := last[id]
			if confidence, ok := numberField(a, "confidence"); ok && confidence >= 0 && confidence < poorConfidence {
				statsOf(a).deliveredPoor++
			}
			delete(last, id)
		}
	}
	return writeModels(w, models)
}

// addAttempt counts an attempt whose answer has begun.
func (m *modelStats) addAttempt(l *Line) {
	m.answers++
	if confidence, ok := numberField(l, "confidence"); ok && confidence >= 0 {
		m.confidences = append(m.confidences, confidence)
	}
	if expected := millisField(l, "wait_ms") + millisField(l, "read_ms"); expected > 0 {
		m.timeRatios = append(m.timeRatios, float64(millisField(l, "first_ms"))/float64(expected))
	}
}

// numberField returns a field as a number. It returns false if the line or the field is
// missing, or the field is not a number.
func numberField(l *Line, key string) (float64, bool) {
	if l == nil {
		return 0, false
	}
	n, err := strconv.ParseFloat(l.Value(key), 64)
	return n, err == nil
}

// writeModels prints the table of models.
func writeModels(w io.Writer, models map[string]*modelStats) error {
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	for _, name := range sortedKeys(models) {
		m := models[name]
		_, err := fmt.Fprintf(t, "model %s\tanswers %d\tgiven up %s\tpoor and stood %s\topinions %s\ttook/expected %s\n",
			name, m.answers, percentage(m.escalated, m.answers), percentage(m.deliveredPoor, m.answers), quartiles(m.confidences), quartiles(m.timeRatios))
		if err != nil {
			return err
		}
	}
	return t.Flush()
}

// quartiles formats the three quartiles of x. It returns "-" if x is empty.
func quartiles(x []float64) string {
	if len(x) == 0 {
		return "-"
	}
	slices.Sort(x)
	at := func(q float64) float64 { return x[int(q*float64(len(x)-1))] }
	return fmt.Sprintf("%.2f %.2f %.2f", at(0.25), at(0.5), at(0.75))
}
