package settings

import (
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
)

const validSettings = `[vm]
name = a1
data-centre = avellaneda

[entry]
callers = 10.0.0.1:8080
health = 10.0.0.1:8081
link = 10.0.0.1:9000

[control]
health = 10.0.0.1:8082
link = 10.0.0.1:9001
file-every = 2s

[keys]
pair = keys/a1.pem
pins = keys/pins.ini
signing = keys/signing.key

[platform]
url = http://10.0.0.9:7000

[peers]
a1 = avellaneda 10.0.0.1:9000 10.0.0.1:9001
a2 = avellaneda 10.0.0.2:9000 10.0.0.2:9001
`

// TestParseValidSettings checks resolved key paths, the list of peers, and defaults.
func TestParseValidSettings(t *testing.T) {
	is := is.New(t)
	s, err := Parse("/etc/woaddoor/a1.ini", []byte(validSettings))
	is.NoErr(err)
	is.Equal(s.Keys.KeyPairFile, "/etc/woaddoor/keys/a1.pem")
	is.Equal(len(s.Peers), 1) // the VM itself is not one of its peers
	is.Equal(s.Control.BillFilingInterval, 2*time.Second)
	is.Equal(s.Entry.AdvertisedLink, s.Entry.LinkAddress)
}

// TestParseReportsAllFaults checks that one error lists all faults of the file.
func TestParseReportsAllFaults(t *testing.T) {
	is := is.New(t)
	bad := strings.NewReplacer("name = a1\n", "", "10.0.0.1:8080", "nowhere", "2s", "2", "[platform]", "[platfrom]", "a2 = avellaneda 10.0.0.2:9000", "a2 = avellaneda").Replace(validSettings)
	_, err := Parse("a1.ini", []byte(bad))
	is.True(err != nil)
	for _, want := range []string{
		"[vm] name: is missing", "a1.ini:5: [entry] callers: is \"nowhere\"", "[control] file-every: is \"2\"",
		"[platfrom] is an unknown section", "[peers] a2: is ",
	} {
		if !strings.Contains(err.Error(), want) {
			t.Errorf("want %q in:\n%s", want, err)
		}
	}
}
