package cascade

// Bar decides whether an answer of a smaller model is given up for one of the
// largest, by the smaller model's own opinion of it. It is pure.
//
// The opinion is rough, so what counts is how likely an answer is poor at that
// opinion, against what the larger model costs.
type Bar struct {
	// At is the opinion, 0 to 1, below which an answer is given up while there
	// is budget enough. Zero means 0.6.
	At float64
	// PerRank is how much the bar falls with each rank of priority: a poor
	// answer to an urgent request costs its caller more.
	PerRank float64
}

// Defaults of Bar.
const (
	defaultBar = 0.6
)

// Answer is what is known of a smaller model's answer.
type Answer struct {
	// Confidence is the model's opinion, 0 to 1; negative when it tells none.
	Confidence float64
	// Priority is the rank of the request; 0 is the most urgent.
	Priority int
	// Expected is when the larger model's answer is expected to begin, as a part
	// of the objective: over 1 it would be late.
	Expected float64
}

// GiveUp tells whether the answer is given up for one of a larger model.
func (b Bar) GiveUp(a Answer) bool {
	if a.Confidence < 0 {
		return false
	}
	return a.Confidence < b.height(a)
}

// easy is the part of the objective up to which a larger model's answer is sure
// to be on time; lateSlope is how the bar falls beyond it. Engines that are
// that slow are full, and the larger model takes ten times the smaller one's
// part of them.
const (
	easy      = 0.3
	lateSlope = 0.8
)

func (b Bar) height(a Answer) float64 {
	at := b.At
	if at == 0 {
		at = defaultBar
	}
	at -= b.PerRank * float64(a.Priority)
	return at * Room(a.Expected)
}

// Room returns how freely the largest model is used, 1 to 0, by when its answer
// is expected to begin as a part of the objective.
func Room(expected float64) float64 { return min(max(1-(expected-easy)*lateSlope, 0), 1) }

// LargestFirst returns the part of requests that the largest model is to answer
// at once, by how many escalations a request the budget allows in the long run,
// and how many are wanted for each answer of the smaller model. Where the budget
// is too small for all, a poor answer of the smaller model would stand.
func LargestFirst(allowed, wanted float64) float64 {
	if wanted <= allowed {
		return 0
	}
	return 1 - allowed/wanted
}

// Wanted follows the part of the smaller model's answers that are poor by its
// own opinion. The zero value takes half to be, which a new deployment soon
// corrects.
type Wanted struct{ off float64 }

// Parameters of Wanted.
const (
	wantedFirst  = 0.5
	wantedWeight = 0.01
)

// Observe takes in whether an answer was poor.
func (w *Wanted) Observe(poor bool) {
	x := 0.0
	if poor {
		x = 1
	}
	w.off += wantedWeight * (x - w.Rate())
}

// Rate returns the part of answers that are poor.
func (w *Wanted) Rate() float64 { return wantedFirst + w.off }
