package main

import (
	"fmt"
	"maps"
	"slices"
	"strings"

	"woaddoor/config"
	"woaddoor/settings"
)

// experiment compares variants of the policy settings on the same deployments, simulated days of
// the users' bench, and seeds. The file of an experiment has a section [way NAME] for each variant
// of the policy settings, and a section for each deployment:
//
//	[experiment]
//	days = quiet-1, scale-1
//	seeds = 3
//	jobs = 3
//
//	[way plain]
//	without = price, homes
//
//	[way dearer]
//	worth-of-cost = 30
//
//	[deployment further]
//	site = further/platterhop-eu.toml
//	small = no
//
// The baseline, which changes no setting, is always included. The experiment compares each other
// variant of the policy settings with the baseline.
type experiment struct {
	days        []string
	seeds, jobs int
	variants    []variant
	deployments []deployment
}

// variant is one set of policy settings in an experiment.
type variant struct {
	name string
	// settings are the lines that the variant adds to the section [policy] of the settings file.
	settings []string
}

// baseline is the name of the variant that changes no setting.
const baseline = "as it stands"

// Names and prefixes of the sections of an experiment's file.
const (
	prefixVariant     = "way "
	prefixDeployment  = "deployment "
	sectionExperiment = "experiment"
)

// readExperiment parses an experiment's file. The error lists all faults of the file.
func readExperiment(name string, text []byte) (*experiment, error) {
	f, err := config.ParseINI(name, text)
	if err != nil {
		return nil, err
	}
	var faults config.Faults
	x := &experiment{variants: []variant{{name: baseline}}}
	for _, section := range slices.Sorted(maps.Keys(f.Sections())) {
		r := config.NewReader(f, section, &faults)
		switch {
		case section == sectionExperiment:
			x.days = r.List("days")
			x.seeds, x.jobs = r.Int("seeds", defaultSeeds, minSeeds, maxSeeds), r.Int("jobs", defaultJobs, 1, maxJobs)
			r.RejectUnknownKeys()
		case strings.HasPrefix(section, prefixVariant):
			x.variants = append(x.variants, readVariant(strings.TrimPrefix(section, prefixVariant), r))
		case strings.HasPrefix(section, prefixDeployment):
			x.deployments = append(x.deployments, readDeployment(strings.TrimPrefix(section, prefixDeployment), r))
		default:
			r.Fault("", "is not known: expected [experiment], [way NAME] or [deployment NAME]")
		}
	}
	if len(x.days) == 0 {
		x.days = allDays
	}
	switch {
	case len(faults) > 0:
		return nil, faults
	case len(x.variants) < 2:
		return nil, fmt.Errorf("%s: has no [way NAME]: expected at least one, to be compared with the baseline", name)
	case len(x.deployments) == 0:
		return nil, fmt.Errorf("%s: has no [deployment NAME]: expected at least one", name)
	}
	return x, nil
}

// readVariant reads the settings of one variant and checks them.
func readVariant(name string, r *config.SectionReader) variant {
	v := variant{name: name}
	for _, key := range r.Keys() {
		if !slices.Contains(settings.PolicyKeys, key) {
			r.Fault(key, "is not a policy setting: expected one of %s", strings.Join(settings.PolicyKeys, ", "))
			continue
		}
		v.settings = append(v.settings, key+" = "+r.String(key, ""))
	}
	if err := settings.CheckPolicy(strings.Join(v.settings, "\n")); err != nil {
		r.Fault(r.Keys()[0], "%v", err)
	}
	return v
}

// readDeployment reads the site file and the size of one deployment.
func readDeployment(name string, r *config.SectionReader) deployment {
	d := deployment{name: name, site: r.Required("site", "expected a site file"), small: r.OneOf("small", "yes", "yes", "no") == "yes"}
	r.RejectUnknownKeys()
	return d
}

// reportFile returns the file name of the bench's report of one simulated day under one variant.
func (x *experiment) reportFile(v variant, p plannedDay) string {
	name := strings.Map(func(c rune) rune {
		if c == ' ' || c == '/' {
			return '-'
		}
		return c
	}, v.name+"."+p.deployment.name+"."+p.day)
	return fmt.Sprintf("%s.%d.json", name, p.seed)
}
