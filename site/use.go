package site

import (
	"time"

	"woaddoor/contract"
	"woaddoor/overload"
	"woaddoor/vm"
)

// CentreUse is what the VMs of a data centre use of their machines, without the recipient.
type CentreUse struct {
	VMs int `cbor:"1,keyasint"`
	// Percent is the mean use of the scarcest resource, and Short the number of VMs that are short.
	Percent int `cbor:"2,keyasint,omitempty"`
	Short   int `cbor:"3,keyasint,omitempty"`
}

// useExpiry is how long the use that a VM has stated counts.
const useExpiry = 3 * time.Second

// SetUse sets how much this VM uses of the scarcest resource of its machine, in percent, and whether it is short of it.
// At least 1 is stated: 0 means that a VM states nothing.
func (p *Peers) SetUse(percent int, short bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.table.SetUse(max(percent, 1), short)
}

// OthersUse returns what this VM knows of the use of the other VMs of its data centre. A hub knows it from their
// messages, and a leaf from the replies of its hub. A VM that has no news keeps what it knew: it may be too short of
// its processor to hear any.
func (p *Peers) OthersUse() overload.Others {
	v := p.currentView()
	if v.isHub {
		p.recordUse(p.useExcept(p.AsWatcher().VM))
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	use := p.othersUse
	return overload.Others{Live: len(v.localPeers), VMs: use.VMs, Use: float64(use.Percent) / 100, Short: use.Short}
}

// recordUse records the use of the other VMs, unless none has stated any.
func (p *Peers) recordUse(stated CentreUse) {
	if stated.VMs == 0 {
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.othersUse = stated
}

// useExcept returns the use of the VMs of this data centre except one, as far as they have stated it recently.
func (p *Peers) useExcept(recipient contract.VMID) CentreUse {
	v := p.currentView()
	p.mu.Lock()
	self := p.table.Self()
	p.mu.Unlock()
	var use CentreUse
	add := func(m vm.Member) {
		if m.VM == recipient || m.Use == 0 || m.Age > useExpiry {
			return
		}
		use.VMs++
		use.Percent += m.Use
		if m.Short {
			use.Short++
		}
	}
	add(self)
	for _, m := range v.localPeers {
		add(m)
	}
	if use.VMs > 0 {
		use.Percent /= use.VMs
	}
	return use
}
