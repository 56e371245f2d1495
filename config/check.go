package config

import (
	"woaddoor/contract"
	"woaddoor/document"
)

// checker checks the references between sections of a configuration file, such as from
// a workspace to the versions that the workspace may use.
type checker struct {
	config  *Config
	readers map[string]*SectionReader
}

// check runs all checks and records their faults.
func (ch *checker) check() {
	ch.checkWorkspaces()
	ch.checkModels()
	ch.checkVersions()
	ch.checkCascades()
	ch.checkRollouts()
	ch.checkServices()
}

// checkWorkspaces checks that allowed versions are declared and that no two workspaces
// have the same key. It also indexes the workspaces by key hash.
func (ch *checker) checkWorkspaces() {
	for id, w := range ch.config.Workspaces {
		r := ch.readers[kindWorkspace+" "+string(id)]
		for v := range w.AllowedVersions {
			if _, ok := ch.config.Versions[v]; !ok {
				r.Fault("allow", "names %s, which has no section: expected a declared version", v)
			}
		}
		if other, duplicate := ch.config.workspaceByKeyHash[w.KeyHash]; duplicate {
			r.Fault("key-hash", "is also the key hash of workspace %s: expected a different key for each workspace", other.ID)
		}
		ch.config.workspaceByKeyHash[w.KeyHash] = w
	}
}

func (ch *checker) checkModels() {
	for id, m := range ch.config.Models {
		r := ch.readers[kindModel+" "+string(id)]
		ch.checkVersionOf(r, "serve", m.ServingVersion, id)
	}
}

// checkVersionOf checks that v, the value of key, is a declared version of model m.
func (ch *checker) checkVersionOf(r *SectionReader, key string, v contract.VersionID, m contract.ModelID) {
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

func (ch *checker) checkVersions() {
	for id := range ch.config.Versions {
		if _, ok := ch.config.Models[id.Model()]; !ok {
			ch.readers[VersionSectionName(id)].Fault("", "is of model %s, which has no section: expected a declared model", id.Model())
		}
	}
}

func (ch *checker) checkCascades() {
	for name, c := range ch.config.Cascades {
		r := ch.readers[kindCascade+" "+name]
		for _, m := range c.Models {
			if _, ok := ch.config.Models[m]; !ok {
				r.Fault("models", "names %s, which has no section: expected a declared model", m)
			}
		}
	}
}

func (ch *checker) checkRollouts() {
	for m, ro := range ch.config.Rollouts {
		r := ch.readers[kindRollout+" "+string(m)]
		if _, ok := ch.config.Models[m]; !ok {
			r.Fault("", "is of model %s, which has no section: expected a declared model", m)
		}
		ch.checkVersionOf(r, "from", ro.From, m)
		ch.checkVersionOf(r, "to", ro.To, m)
		if ro.From == ro.To && ro.From != "" {
			r.Fault("to", "is the same as from: expected another version")
		}
	}
}

// checkServices checks that each service has pools, all declared with kind service.
func (ch *checker) checkServices() {
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

// NextSections checks that file f may replace the accepted document. It returns
// the sections of the new document: the sections of the file, and the stored progress
// of each rollout whose target version is the same in the file and the accepted document.
//
// A version that is withdrawn in the accepted document must be withdrawn in the file
// too. Otherwise applying an older file would bring a bad version back into service. A
// corrected version of a model needs a new version number.
func NextSections(accepted *document.Document, f *File) (map[string]document.Section, error) {
	old, err := FromDocument(accepted)
	if err != nil {
		return nil, err
	}
	next, faults := buildConfig(f)
	if len(faults) > 0 {
		return nil, faults
	}
	for id, v := range old.Versions {
		if v.State != Withdrawn {
			continue
		}
		if now, ok := next.Versions[id]; !ok || now.State != Withdrawn {
			faults = append(faults, Fault{
				File: f.Name, Line: f.Line(VersionSectionName(id), "state"), Section: VersionSectionName(id), Key: "state",
				Message: "was withdrawn before: expected it to stay withdrawn; give the corrected version a new number",
			})
		}
	}
	if err := faults.Err(); err != nil {
		return nil, err
	}
	sections := make(map[string]document.Section, len(f.sections))
	for name, s := range f.sections {
		if name != KindConfiguration {
			sections[name] = s
		}
	}
	for m, p := range old.Progress {
		if ro, ok := next.Rollouts[m]; ok && ro.To == p.To {
			sections[ProgressSectionName(m)] = p.Section()
		}
	}
	return sections, nil
}
