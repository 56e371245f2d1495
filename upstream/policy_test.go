package upstream

import (
	"strings"
	"testing"

	"github.com/matryer/is"
)

// TestPolicy checks that a mechanism is enabled unless it is disabled by name, and that the error
// for an unknown name lists the valid ones.
func TestPolicy(t *testing.T) {
	is := is.New(t)
	is.True(Policy{}.Has(PrefillPrice))
	p, err := NewPolicy([]string{"price", "kept"})
	is.NoErr(err)
	is.True(!p.Has(PrefillPrice))
	is.True(!p.Has(PrefixCaching))
	is.True(p.Has(Gossip))
	_, err = NewPolicy([]string{"prices"})
	is.True(err != nil)
	is.True(strings.Contains(err.Error(), `"prices"`) && strings.Contains(err.Error(), "telling"))
}
