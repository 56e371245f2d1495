package config

import (
	"woaddoor/contract"
	"woaddoor/document"
)

// checker checks what the sections say of each other.
type checker struct {
	config  *Config
	readers map[string]*Reader
}

func (ch *checker) check() {
	ch.workspaces()
	ch.models()
	ch.versions()
	ch.cascades()
	ch.rollouts()
	ch.services()
}

func (ch *checker) workspaces() {
	for id, w := range ch.config.Workspaces {
		r := ch.readers[kindWorkspace+" "+string(id)]
		for v := range w.Allow {
			if _, ok := ch.config.Versions[v]; !ok {
				r.Fault("allow", "names %s, which has no section: expected a declared version", v)
			}
		}
		if other, twice := ch.config.byKey[w.KeyHash]; twice {
			r.Fault("key-hash", "is also that of workspace %s: expected a key of its own", other.ID)
		}
		ch.config.byKey[w.KeyHash] = w
	}
}

func (ch *checker) models() {
	for id, m := range ch.config.Models {
		r := ch.readers[kindModel+" "+string(id)]
		ch.versionOf(r, "serve", m.Serve, id)
	}
}

func (ch *checker) versionOf(r *Reader, key string, v contract.VersionID, m contract.ModelID) {
	if v == "" {
		return
	}
	if _, ok := ch.config.Versions[v]; !ok {
		r.Fault(key, "names %s, which has no section: expected a declared version", v)
		return
	}
	if v.Model() != m {
		r.Fault(key, "names %s: expected a version of %s", v, m)
	}
}

func (ch *checker) versions() {
	for id := range ch.config.Versions {
		if _, ok := ch.config.Models[id.Model()]; !ok {
			ch.readers[VersionSection(id)].Fault("", "is of model %s, which has no section: expected a declared model", id.Model())
		}
	}
}

func (ch *checker) cascades() {
	for name, c := range ch.config.Cascades {
		r := ch.readers[kindCascade+" "+name]
		for _, m := range c.Models {
			if _, ok := ch.config.Models[m]; !ok {
				r.Fault("models", "names %s, which has no section: expected a declared model", m)
			}
		}
	}
}

func (ch *checker) rollouts() {
	for m, ro := range ch.config.Rollouts {
		r := ch.readers[kindRollout+" "+string(m)]
		if _, ok := ch.config.Models[m]; !ok {
			r.Fault("", "is of model %s, which has no section: expected a declared model", m)
		}
		ch.versionOf(r, "from", ro.From, m)
		ch.versionOf(r, "to", ro.To, m)
		if ro.From == ro.To && ro.From != "" {
			r.Fault("to", "is the same as from: expected another version")
		}
	}
}

func (ch *checker) services() {
	for id, s := range ch.config.Services {
		r := ch.readers[kindService+" "+string(id)]
		if len(s.Pools) == 0 {
			r.Fault("pools", "is empty: expected the pools of the service")
		}
		for _, p := range s.Pools {
			pool, ok := ch.config.Pools[p]
			if !ok || pool.Kind != ServicePool {
				r.Fault("pools", "names %s: expected a declared pool of kind service", p)
			}
		}
	}
}

// Successor checks file as the successor of the accepted document, and returns
// the sections of the new one: those of the file and those that the system
// keeps of roll-outs that go on.
//
// A withdrawn version stays withdrawn: a withdrawal that an older file could
// undo would be a configuration that reverts. The fix gets a new number.
func Successor(accepted *document.Document, f *File) (map[string]document.Section, error) {
	old, err := FromDocument(accepted)
	if err != nil {
		return nil, err
	}
	next, faults := build(f)
	if len(faults) > 0 {
		return nil, faults
	}
	for id, v := range old.Versions {
		if v.State != Withdrawn {
			continue
		}
		if now, ok := next.Versions[id]; !ok || now.State != Withdrawn {
			faults = append(faults, Fault{
				File: f.Name, Line: f.Line(VersionSection(id), "state"), Section: VersionSection(id), Key: "state",
				Want: "was withdrawn before: expected it to stay withdrawn; give the mended version a new number",
			})
		}
	}
	if err := faults.Err(); err != nil {
		return nil, err
	}
	sections := make(map[string]document.Section, len(f.sections))
	for name, s := range f.sections {
		if name != KindFrom {
			sections[name] = s
		}
	}
	for m, p := range old.Progress {
		if ro, ok := next.Rollouts[m]; ok && ro.To == p.To {
			sections[ProgressSection(m)] = p.Text()
		}
	}
	return sections, nil
}
