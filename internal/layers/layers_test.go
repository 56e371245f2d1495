// Package layers contains only tests. They check which packages the product's packages
// import, and that the fields of decoded messages are read.
package layers

import (
	"go/parser"
	"go/token"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"testing"
)

// decisionPackages make decisions from typed events and a given time, without I/O. Each
// therefore behaves the same in a property test, in a measurement and in production.
var decisionPackages = []string{
	"bill", "cascade", "contract", "datacentre", "document", "lease", "permit", "reading",
	"quarantine", "retry", "rollout", "scaling", "session", "stream", "ticket", "upstream", "usage", "vm", "workspace",
}

// allowedPackages are the packages of the project that decision packages may import: each
// other, the typed configuration and signatures.
var allowedPackages = append([]string{"config", "sign"}, decisionPackages...)

// forbiddenPackages are packages, of the standard library and others, that do I/O, log,
// measure or run something at a later time.
var forbiddenPackages = []string{
	"context", "io", "log", "net", "os", "sync", "syscall",
	"github.com/quic-go", "github.com/rcrowley/go-metrics", "go.uber.org/zap",
}

// TestDecisionPackagesAreIsolated checks that no decision package imports a package that
// does I/O, logs or uses goroutines, so that its decisions depend only on its inputs.
func TestDecisionPackagesAreIsolated(t *testing.T) {
	for _, pkg := range decisionPackages {
		for _, name := range imports(t, filepath.Join("..", "..", pkg)) {
			if reason := whyForbidden(name); reason != "" {
				t.Errorf("%s imports %s: %s", pkg, name, reason)
			}
		}
	}
}

// TestWhyForbidden checks that whyForbidden accepts and rejects the right imports.
func TestWhyForbidden(t *testing.T) {
	for name, forbidden := range map[string]bool{
		"time": false, "math/rand/v2": false, "woaddoor/contract": false, "woaddoor/config": false, "errors": false,
		"net/http": true, "os": true, "sync/atomic": true, "context": true, "woaddoor/link": true, "woaddoor/engine": true, "go.uber.org/zap": true,
	} {
		if (whyForbidden(name) != "") != forbidden {
			t.Errorf("%s: forbidden is %v", name, !forbidden)
		}
	}
}

// whyForbidden returns why a decision package may not import name, or "" if it may.
func whyForbidden(name string) string {
	if inner, ok := strings.CutPrefix(name, "woaddoor/"); ok {
		for _, p := range allowedPackages {
			if inner == p {
				return ""
			}
		}
		return "it is not a decision package"
	}
	for _, p := range forbiddenPackages {
		if name == p || strings.HasPrefix(name, p+"/") {
			return "decision packages must not do I/O or use goroutines"
		}
	}
	return ""
}

// imports returns the imports of the Go files in a folder, except test files.
func imports(t *testing.T, dir string) []string {
	t.Helper()
	entries, err := os.ReadDir(dir)
	if err != nil {
		t.Fatal(err)
	}
	var names []string
	for _, e := range entries {
		if !strings.HasSuffix(e.Name(), ".go") || strings.HasSuffix(e.Name(), "_test.go") {
			continue
		}
		f, err := parser.ParseFile(token.NewFileSet(), filepath.Join(dir, e.Name()), nil, parser.ImportsOnly)
		if err != nil {
			t.Fatal(err)
		}
		for _, i := range f.Imports {
			name, err := strconv.Unquote(i.Path.Value)
			if err != nil {
				t.Fatal(err)
			}
			names = append(names, name)
		}
	}
	return names
}
