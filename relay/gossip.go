package relay

import (
	"time"

	"woaddoor/contract"
	"woaddoor/prefill"
	"woaddoor/upstream"
)

// SentPrompt describes a prompt that a VM has sent to an upstream, as reported to other VMs.
// The report shows the other VMs how much prefill precedes their own prompts at the upstream,
// and what the upstream will cache.
type SentPrompt struct {
	Upstream contract.UpstreamID `cbor:"1,keyasint"`
	Model    contract.ModelID    `cbor:"2,keyasint"`
	Tokens   int                 `cbor:"3,keyasint"`
	Parts    []prefill.Part      `cbor:"4,keyasint"`
	// PrefillTime is the prefill time that the sending VM expects.
	PrefillTime time.Duration `cbor:"5,keyasint"`
	// TokenTime is the model's prefill time per token of prompt, as measured by the sending VM.
	// A zero TokenTime means that the sending VM has too few samples.
	TokenTime time.Duration `cbor:"6,keyasint,omitempty"`
	// Incarnation identifies the instance of the upstream that received the prompt.
	Incarnation int64 `cbor:"7,keyasint,omitempty"`
	// Pace is the upstream's pace as known to the sending VM; zero if unknown.
	Pace float32 `cbor:"8,keyasint,omitempty"`
}

// ConfidenceReport is the confidence that a model reported for one of its answers,
// as exchanged between VMs.
type ConfidenceReport struct {
	Model contract.ModelID `cbor:"1,keyasint"`
	// Largest is the model whose answers define good quality.
	Largest    contract.ModelID `cbor:"2,keyasint"`
	Confidence float64          `cbor:"3,keyasint"`
}

// MergeConfidence records the confidence that models reported for answers to other VMs' requests.
func (r *Relay) MergeConfidence(reports []ConfidenceReport) {
	if !r.opts.Policy.Has(upstream.Gossip) {
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, report := range reports {
		r.confidences.Observe(report.Model, report.Largest, report.Confidence)
	}
}

// recordConfidence records the confidence that a model reported for an answer,
// and passes the confidence on to other VMs.
// The caller holds mu.
func (r *Relay) recordConfidence(m, largest contract.ModelID, confidence float64) {
	if confidence < 0 {
		return // the model does not report its confidence
	}
	r.confidences.Observe(m, largest, confidence)
	if r.opts.OnConfidence != nil {
		r.opts.OnConfidence(ConfidenceReport{m, largest, confidence})
	}
}

// minReportedPrefill is the shortest prefill that is reported to other VMs.
// A shorter prefill delays other requests
// by no more than one or two computation steps of the engine.
const minReportedPrefill = 25 * time.Millisecond

// MergeSent records the prompts that another VM has sent to upstreams.
func (r *Relay) MergeSent(sent []SentPrompt) {
	if !r.opts.Policy.Has(upstream.Gossip) {
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	now := r.opts.Now()
	for _, prompt := range sent {
		if !r.isCurrent(prompt.Upstream, prompt.Incarnation) {
			continue // sent to an earlier instance, or to an upstream that is not in this VM's list
		}
		r.table.RecordPeerPace(prompt.Upstream, float64(prompt.Pace))
		r.table.RecordPeerPrompt(prompt.Upstream, prefill.Prompt{Model: prompt.Model, Tokens: prompt.Tokens, Parts: prompt.Parts}, prompt.PrefillTime, prompt.TokenTime, now)
	}
}
