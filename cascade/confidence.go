package cascade

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
