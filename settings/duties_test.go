package settings

import (
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
)

const minimalSettings = `[vm]
name = vm1
data-centre = d
[listen]
callers = 10.0.0.1:1
ready = 10.0.0.1:2
links = 10.0.0.1:3
[store]
address = 10.0.0.2:1
`

// TestParseVMDuties checks that absent duties stay zero, that omitted keys get
// their defaults, and that a lease below the minimum is raised to it.
func TestParseVMDuties(t *testing.T) {
	is := is.New(t)
	v, err := ParseVM("vm.ini", []byte(minimalSettings))
	is.NoErr(err)
	is.Equal(v.Duties, Duties{})
	v, err = ParseVM("vm.ini", []byte(minimalSettings+"[duties]\naddress = 10.0.0.3:1\nnames = metering,autoscale\nlease = 500ms\nusage-late = 20s\n"))
	is.NoErr(err)
	is.Equal(v.Duties, Duties{
		Address: "10.0.0.3:1", Names: []string{"metering", "autoscale"}, Lease: minLease, UsageWindow: defaultUsageWindow, UsageReportDeadline: 20 * time.Second,
	})
}

// TestParseVMRejectsInvalidDuties checks that the errors about invalid duties name
// the file, the section and the key.
func TestParseVMRejectsInvalidDuties(t *testing.T) {
	is := is.New(t)
	for text, want := range map[string]string{
		"[duties]\nnames = metering\n":                                     "[duties] address",
		"[duties]\naddress = 10.0.0.3:1\nlease = 6s\nusage-late = 5s\n":    "[duties] usage-late: is 5s",
		"[duties]\naddress = 10.0.0.3:1\nlease = soon\n":                   "[duties] lease",
		"[duties]\naddress = 10.0.0.3:1\nusage-window = -5s\nlease = 1s\n": "[duties] usage-window",
	} {
		_, err := ParseVM("vm.ini", []byte(minimalSettings+text))
		is.True(err != nil)
		is.True(strings.Contains(err.Error(), want))
		is.True(strings.Contains(err.Error(), "vm.ini"))
	}
}
