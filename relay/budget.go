package relay

import (
	"woaddoor/contract"
	"woaddoor/retry"
)

// BudgetLeft returns the smallest unused fraction of any service's retry budget, from 0 to 1.
func (r *Relay) BudgetLeft() float64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	left := 1.0
	for _, w := range r.retryBudgets {
		left = min(left, w.UnusedShare(r.slackVMs(), r.opts.Now()))
	}
	return left
}

// slackVMs returns how many VMs divide the slack of the retry budgets, or zero while the other VMs
// do not count this VM: their parts are the whole slack.
func (r *Relay) slackVMs() int {
	if r.opts.Counted != nil && !r.opts.Counted() {
		return 0
	}
	return max(r.opts.VMs(), 1)
}

// retryBudget returns the retry budget of a service and creates it if there is none.
// The caller holds mu.
func (r *Relay) retryBudget(s contract.ServiceID) *retry.ResendWindow {
	budget, ok := r.retryBudgets[s]
	if !ok {
		budget = retry.NewResendWindow(r.opts.Budget)
		r.retryBudgets[s] = budget
	}
	return budget
}
