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
	// Scarce is the part of the retry budget left below which the bar falls,
	// down to nothing when none is left. Zero means 0.3.
	Scarce float64
}

// Defaults of Bar.
const (
	defaultBar    = 0.6
	defaultScarce = 0.3
)

// Answer is what is known of a smaller model's answer.
type Answer struct {
	// Confidence is the model's opinion, 0 to 1; negative when it tells none.
	Confidence float64
	// Priority is the rank of the request; 0 is the most urgent.
	Priority int
	// BudgetLeft is the part of the budget of repeated sends that is left.
	BudgetLeft float64
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
	at, scarce := b.At, b.Scarce
	if at == 0 {
		at = defaultBar
	}
	if scarce == 0 {
		scarce = defaultScarce
	}
	at -= b.PerRank * float64(a.Priority)
	if a.BudgetLeft < scarce {
		at *= a.BudgetLeft / scarce
	}
	if over := a.Expected - easy; over > 0 {
		at *= max(0, 1-over*lateSlope)
	}
	return at
}
