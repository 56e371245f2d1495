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

// vmAddresses holds the network addresses of one VM. The VM's two processes advertise the
// addresses of relays as their link addresses, and tests can block the relays.
type vmAddresses struct {
	callers, entryHealth, controlHealth string
	entryLink, controlLink              string
	entryAdvertised, controlAdvertised  string
	platform                            string
}

// createVMs allocates each VM's addresses, generates its keys, writes its
// settings file and registers it with the platform.
func (f *Fleet) createVMs() error {
	var names []string
	var addresses []vmAddresses
	for _, dc := range f.opts.DataCentres {
		for i := range f.opts.VMs {
			name := fmt.Sprintf("%s-%d", dc, i+1)
			a, err := f.allocateAddresses(name)
			if err != nil {
				return err
			}
			names = append(names, name)
			addresses = append(addresses, a)
			f.VMs = append(f.VMs, &VM{
				Name: contract.VMID(name), DataCentre: dc,
				APIURL: "http://" + a.callers, HealthURL: "http://" + a.entryHealth,
				settings: filepath.Join(f.opts.WorkDir, name+".ini"),
			})
		}
	}
	if err := f.generateKeys(names); err != nil {
		return err
	}
	var entries []contract.VMEntry
	for i, vm := range f.VMs {
		entries = append(entries, contract.VMEntry{ID: vm.Name, DataCentre: vm.DataCentre, Address: addresses[i].controlAdvertised, State: contract.VMLive})
		if err := os.WriteFile(vm.settings, []byte(f.renderSettings(vm, addresses, i)), 0o600); err != nil {
			return err
		}
	}
	f.Platform.SetVMs(entries)
	return nil
}

// allocateAddresses allocates the addresses of one VM, and starts the relays of its links
// and its view of the platform.
func (f *Fleet) allocateAddresses(name string) (vmAddresses, error) {
	var a vmAddresses
	var err error
	for _, allocation := range []struct {
		network string
		into    *string
	}{
		{"tcp", &a.callers}, {"tcp", &a.entryHealth}, {"tcp", &a.controlHealth},
		{"udp", &a.entryLink}, {"udp", &a.controlLink},
	} {
		if *allocation.into, err = allocateAddress(allocation.network); err != nil {
			return a, err
		}
	}
	if a.entryAdvertised, err = f.Net.StartRelay(name, a.entryLink); err != nil {
		return a, err
	}
	if a.controlAdvertised, err = f.Net.StartRelay(name, a.controlLink); err != nil {
		return a, err
	}
	a.platform, err = f.serve(f.Platform.View(name).Handler())
	return a, err
}

// renderSettings returns the settings file of vm, whose addresses are addresses[i].
func (f *Fleet) renderSettings(vm *VM, addresses []vmAddresses, i int) string {
	own := addresses[i]
	var b strings.Builder
	fmt.Fprintf(&b, "[vm]\nname = %s\ndata-centre = %s\n\n", vm.Name, vm.DataCentre)
	fmt.Fprintf(&b, "[entry]\ncallers = %s\nhealth = %s\nlink = %s\nadvertise = %s\n%s\n", own.callers, own.entryHealth, own.entryLink, own.entryAdvertised, f.opts.EntrySettings)
	fmt.Fprintf(&b, "[control]\nhealth = %s\nlink = %s\nadvertise = %s\n\n", own.controlHealth, own.controlLink, own.controlAdvertised)
	fmt.Fprintf(&b, "[keys]\npair = keys/%s.pem\npins = keys/%s\nsigning = keys/%s\n\n", vm.Name, keys.PinsFile, keys.SigningFile)
	fmt.Fprintf(&b, "[platform]\nurl = %s\n\n[peers]\n", own.platform)
	for j, peer := range f.VMs {
		if f.opts.ListedPeers > 0 && j >= f.opts.ListedPeers {
			break
		}
		fmt.Fprintf(&b, "%s = %s %s %s\n", peer.Name, peer.DataCentre, addresses[j].entryAdvertised, addresses[j].controlAdvertised)
	}
	return b.String()
}

// Config returns a configuration file for the fleet: two workspaces, two
// models, a cascade, a service with a non-repeatable call, and the rating
// service. extra holds additional sections.
func (f *Fleet) Config(extra string) string {
	var b strings.Builder
	for _, workspace := range []struct{ name, key, bill string }{{"norte", APIKeyNorte, "refuse"}, {"mbio", APIKeyMbio, "serve"}} {
		fmt.Fprintf(&b, "[workspace %s]\nkey-hash = %s\nallow = chat-small@1, chat-small@2, chat-large@1\nquality = 0.9\nbill-at-risk = %s\n\n", workspace.name, keys.HashAPIKey(workspace.key), workspace.bill)
	}
	b.WriteString("[model chat-small]\nserve = chat-small@1\ninput-price = 100000\noutput-price = 400000\n\n")
	b.WriteString("[model chat-large]\nserve = chat-large@1\ninput-price = 2000000\noutput-price = 8000000\n\n")
	b.WriteString("[version chat-small@1]\nserve-without-word = 20s\n\n[version chat-small@2]\nserve-without-word = 5s\n\n[version chat-large@1]\nserve-without-word = 20s\n\n")
	b.WriteString("[cascade chat]\nmodels = chat-small, chat-large\n\n")
	for _, dc := range f.opts.DataCentres {
		fmt.Fprintf(&b, "[pool engines-%s]\nkind = engine\ndata-centre = %s\nslots = 8\nupstreams = %s\n\n", dc, dc, f.engineList(dc))
	}
	first := f.opts.DataCentres[0]
	fmt.Fprintf(&b, "[pool boards]\nkind = service\ndata-centre = %s\nupstreams = %s %s\n\n", first, BoardsUpstream, f.urls[BoardsUpstream])
	fmt.Fprintf(&b, "[pool rating]\nkind = service\ndata-centre = %s\nupstreams = %s %s\n\n", first, RatingUpstream, f.urls[RatingUpstream])
	b.WriteString("[service boards]\npools = boards\nnot-repeatable = POST /rulings*\nprice = 5\n\n[service rating]\npools = rating\n\n")
	b.WriteString(extra)
	return b.String()
}

// engineList returns the engines of a data centre as "ID URL" items of a pool's upstreams key.
func (f *Fleet) engineList(dc contract.DataCentreID) string {
	var items []string
	for id := range f.Engines {
		if strings.HasPrefix(string(id), string(dc)+"-") {
			items = append(items, fmt.Sprintf("%s %s", id, f.urls[id]))
		}
	}
	slices.Sort(items)
	return strings.Join(items, ", ")
}
