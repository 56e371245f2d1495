package relay

import "woaddoor/quarantine"

// contentFingerprint returns the fingerprint (hash) of the request's content.
func (j *job) contentFingerprint() quarantine.Fingerprint {
	if j.cachedFingerprint == nil {
		p := quarantine.FingerprintOf(j.Workspace, j.Host, j.URI, j.Body)
		j.cachedFingerprint = &p
	}
	return *j.cachedFingerprint
}

// maxTrackedParts bounds the parts of one prompt that may come under suspicion.
const maxTrackedParts = 64

// sharedParts returns the parts of the prompt that other requests may share, maxTrackedParts at most.
// The last part is left out: it belongs to this request alone. So are parts without a name.
func (j *job) sharedParts() []quarantine.Part {
	if j.cachedParts == nil && len(j.PartNames) > 1 {
		shared := j.PartNames[:min(len(j.PartNames)-1, maxTrackedParts)]
		j.cachedParts = make([]quarantine.Part, 0, len(shared))
		for _, name := range shared {
			if name != "" {
				j.cachedParts = append(j.cachedParts, quarantine.NewPart(name))
			}
		}
	}
	return j.cachedParts
}

// fingerprints returns the fingerprints of the request's content and of the shared parts of its
// prompt, each of which may be quarantined.
func (j *job) fingerprints() []quarantine.Fingerprint {
	if j.cachedFingerprints == nil {
		j.cachedFingerprints = append(j.cachedFingerprints, j.contentFingerprint())
		for _, p := range j.sharedParts() {
			j.cachedFingerprints = append(j.cachedFingerprints, p.Fingerprint)
		}
	}
	return j.cachedFingerprints
}

// suspectFingerprint returns the fingerprint because of which a request was refused.
func (j *job) suspectFingerprint() quarantine.Fingerprint {
	if j.heldBy != (quarantine.Fingerprint{}) {
		return j.heldBy
	}
	return j.contentFingerprint()
}
