package fleet

import (
	"fmt"
	"os"
	"path/filepath"
	"slices"
	"strings"

	"woaddoor/contract"
	"woaddoor/keys"
)

// addresses are those of one VM.
type addresses struct {
	callers, entryHealth, controlHealth string
	entryLink, controlLink              string
	entryAdvertised, controlAdvertised  string
	platform                            string
}

// layOut gives each VM its addresses, its keys and its settings file.
func (f *Fleet) layOut() error {
	var names []string
	var all []addresses
	for _, dc := range f.opts.DataCentres {
		for i := range f.opts.VMs {
			name := fmt.Sprintf("%s-%d", dc, i+1)
			a, err := f.address(name)
			if err != nil {
				return err
			}
			names = append(names, name)
			all = append(all, a)
			f.VMs = append(f.VMs, &VM{
				Name: contract.VMID(name), DataCentre: dc,
				Callers: "http://" + a.callers, Health: "http://" + a.entryHealth,
				settings: filepath.Join(f.opts.Dir, name+".ini"),
			})
		}
	}
	if err := f.makeKeys(names); err != nil {
		return err
	}
	var list []contract.VMEntry
	for i, vm := range f.VMs {
		list = append(list, contract.VMEntry{ID: vm.Name, DataCentre: vm.DataCentre, Address: all[i].controlAdvertised, State: contract.VMLive})
		if err := os.WriteFile(vm.settings, []byte(f.settingsOf(vm, all, i)), 0o600); err != nil {
			return err
		}
	}
	f.Platform.SetVMs(list)
	return nil
}

func (f *Fleet) address(name string) (addresses, error) {
	var a addresses
	var err error
	for _, slot := range []struct {
		network string
		into    *string
	}{
		{"tcp", &a.callers}, {"tcp", &a.entryHealth}, {"tcp", &a.controlHealth},
		{"udp", &a.entryLink}, {"udp", &a.controlLink},
	} {
		if *slot.into, err = freeAddress(slot.network); err != nil {
			return a, err
		}
	}
	if a.entryAdvertised, err = f.Net.Relay(name, a.entryLink); err != nil {
		return a, err
	}
	if a.controlAdvertised, err = f.Net.Relay(name, a.controlLink); err != nil {
		return a, err
	}
	a.platform, err = f.serve(f.Platform.View(name).Handler())
	return a, err
}

func (f *Fleet) settingsOf(vm *VM, all []addresses, i int) string {
	a := all[i]
	var b strings.Builder
	fmt.Fprintf(&b, "[vm]\nname = %s\ndata-centre = %s\n\n", vm.Name, vm.DataCentre)
	fmt.Fprintf(&b, "[entry]\ncallers = %s\nhealth = %s\nlink = %s\nadvertise = %s\n%s\n", a.callers, a.entryHealth, a.entryLink, a.entryAdvertised, f.opts.Entry)
	fmt.Fprintf(&b, "[control]\nhealth = %s\nlink = %s\nadvertise = %s\n\n", a.controlHealth, a.controlLink, a.controlAdvertised)
	fmt.Fprintf(&b, "[keys]\npair = keys/%s.pem\npins = keys/%s\nsigning = keys/%s\n\n", vm.Name, keys.PinsFile, keys.SigningFile)
	fmt.Fprintf(&b, "[platform]\nurl = %s\n\n[peers]\n", a.platform)
	for j, peer := range f.VMs {
		if f.opts.Peers > 0 && j >= f.opts.Peers {
			break
		}
		fmt.Fprintf(&b, "%s = %s %s %s\n", peer.Name, peer.DataCentre, all[j].entryAdvertised, all[j].controlAdvertised)
	}
	return b.String()
}

// Config returns a configuration file for the fleet: two workspaces, two
// models, a cascade, a service with a call that may not be repeated, and the
// rating service. more holds further sections.
func (f *Fleet) Config(more string) string {
	var b strings.Builder
	for _, w := range []struct{ name, key, bill string }{{"norte", KeyNorte, "refuse"}, {"mbio", KeyMbio, "serve"}} {
		fmt.Fprintf(&b, "[workspace %s]\nkey-hash = %s\nallow = chat-small@1, chat-small@2, chat-large@1\nquality = 0.9\nbill-at-risk = %s\n\n", w.name, keys.HashKey(w.key), w.bill)
	}
	b.WriteString("[model chat-small]\nserve = chat-small@1\ninput-price = 100000\noutput-price = 400000\n\n")
	b.WriteString("[model chat-large]\nserve = chat-large@1\ninput-price = 2000000\noutput-price = 8000000\n\n")
	b.WriteString("[version chat-small@1]\nserve-without-word = 20s\n\n[version chat-small@2]\nserve-without-word = 5s\n\n[version chat-large@1]\nserve-without-word = 20s\n\n")
	b.WriteString("[cascade chat]\nmodels = chat-small, chat-large\n\n")
	for _, dc := range f.opts.DataCentres {
		fmt.Fprintf(&b, "[pool engines-%s]\nkind = engine\ndata-centre = %s\nslots = 8\nupstreams = %s\n\n", dc, dc, f.upstreams(dc))
	}
	first := f.opts.DataCentres[0]
	fmt.Fprintf(&b, "[pool boards]\nkind = service\ndata-centre = %s\nupstreams = %s %s\n\n", first, BoardsUpstream, f.urls[BoardsUpstream])
	fmt.Fprintf(&b, "[pool rating]\nkind = service\ndata-centre = %s\nupstreams = %s %s\n\n", first, RatingUpstream, f.urls[RatingUpstream])
	b.WriteString("[service boards]\npools = boards\nnot-repeatable = POST /rulings*\nprice = 5\n\n[service rating]\npools = rating\n\n")
	b.WriteString(more)
	return b.String()
}

func (f *Fleet) upstreams(dc contract.DataCentreID) string {
	var items []string
	for id := range f.Engines {
		if strings.HasPrefix(string(id), string(dc)+"-") {
			items = append(items, fmt.Sprintf("%s %s", id, f.urls[id]))
		}
	}
	slices.Sort(items)
	return strings.Join(items, ", ")
}
