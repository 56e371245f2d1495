package upstream

import (
	"strings"
	"testing"

	"github.com/matryer/is"
)

// TestPolicy checks that a mechanism is in use unless it is left out, and that a
// name that is none is told with those that are.
func TestPolicy(t *testing.T) {
	is := is.New(t)
	is.True(Policy{}.Has(Price))
	p, err := NewPolicy([]string{"price", "kept"})
	is.NoErr(err)
	is.True(!p.Has(Price))
	is.True(!p.Has(Kept))
	is.True(p.Has(Telling))
	_, err = NewPolicy([]string{"prices"})
	is.True(err != nil)
	is.True(strings.Contains(err.Error(), `"prices"`) && strings.Contains(err.Error(), "telling"))
}
