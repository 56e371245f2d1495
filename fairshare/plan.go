package fairshare

import "woaddoor/contract"

// Merged stands for the workspaces that are too small to be reported by name.
// Their requests are always admitted, since each is far below an equal share.
const Merged contract.WorkspaceID = ""

// Plan is the division of a service's capacity among the classes.
type Plan struct {
	// Capacity is the work per second that is divided.
	Capacity float64
	// Total is the work of all classes.
	Total Work
	// shares are the work per second that each workspace may have.
	shares map[contract.WorkspaceID]float64
	// fractions are the parts of the offered work that are admitted.
	fractions map[Class]float64
}

// NewPlan divides a capacity by the weights of the workspaces. A nil weight means equal weights.
func NewPlan(d Demand, capacity float64, weight func(contract.WorkspaceID) float64) Plan {
	plan := Plan{Capacity: capacity, Total: d.Sum(), shares: make(map[contract.WorkspaceID]float64), fractions: make(map[Class]float64, len(d))}
	var claims []Claim
	var claimants [][]Class
	for _, classes := range d.classesByWorkspace() {
		workspace, offered := classes[0].Workspace, 0.0
		for _, class := range classes {
			offered += d[class].Offered
		}
		if workspace == Merged {
			capacity -= offered
			continue
		}
		claims = append(claims, Claim{Demand: offered, Weight: weightOf(workspace, weight)})
		claimants = append(claimants, classes)
	}
	for i, share := range MaxMin(claims, capacity) {
		plan.setFractions(d, claimants[i], share)
	}
	return plan
}

// weightOf returns the weight of a workspace, or 1 if none is configured.
func weightOf(w contract.WorkspaceID, weight func(contract.WorkspaceID) float64) float64 {
	if weight == nil {
		return 1
	}
	if x := weight(w); x > 0 {
		return x
	}
	return 1
}

// setFractions divides the share of a workspace among its classes, sorted by priority.
func (p *Plan) setFractions(d Demand, classes []Class, share float64) {
	p.shares[classes[0].Workspace] = share
	demands := make([]float64, len(classes))
	for i, class := range classes {
		demands[i] = d[class].Offered
	}
	for i, fraction := range priorityFractions(demands, share) {
		p.fractions[classes[i]] = fraction
	}
}

// Fraction returns the fraction of the requests of a class that is admitted.
// It is 1 for a class whose demand is not known.
func (p Plan) Fraction(class Class) float64 {
	if fraction, ok := p.fractions[class]; ok {
		return fraction
	}
	return 1
}

// Share returns the work per second that a workspace may have.
func (p Plan) Share(w contract.WorkspaceID) float64 { return p.shares[w] }
