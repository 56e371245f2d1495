// Package layers checks what the product's packages may import. It holds tests alone.
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

// decisionPackages are the packages that decide, from typed events and a given time. Each
// runs the same in a property test, in a measurement and in production.
var decisionPackages = []string{
	"bill", "cascade", "contract", "datacentre", "document", "lease", "permit", "reading",
	"quarantine", "retry", "rollout", "scaling", "session", "stream", "ticket", "upstream", "usage", "vm", "workspace",
}

// allowedPackages are the packages of the project that decisions may use: each other, and
// the typed form of a configuration.
var allowedPackages = append([]string{"config", "sign"}, decisionPackages...)

// forbiddenPackages are packages of the standard library and of others that do I/O, log,
// measure or run something at a later time.
var forbiddenPackages = []string{
	"context", "io", "log", "net", "os", "sync", "syscall",
	"github.com/quic-go", "github.com/rcrowley/go-metrics", "go.uber.org/zap",
}

// TestDecisionPackagesAreIsolated checks that no package that decides imports one that does
// I/O, logs, or knows of goroutines: what it decides then depends on what it is given
// alone.
func TestDecisionPackagesAreIsolated(t *testing.T) {
	for _, pkg := range decisionPackages {
		for _, name := range imports(t, filepath.Join("..", "..", pkg)) {
			if why := whyForbidden(name); why != "" {
				t.Errorf("%s imports %s: %s", pkg, name, why)
			}
		}
	}
}

// TestWhyForbidden checks that the check itself finds what it is for.
func TestWhyForbidden(t *testing.T) {
	for name, bar := range map[string]bool{
		"time": false, "math/rand/v2": false, "woaddoor/contract": false, "woaddoor/config": false, "errors": false,
		"net/http": true, "os": true, "sync/atomic": true, "context": true, "woaddoor/link": true, "woaddoor/engine": true, "go.uber.org/zap": true,
	} {
		if (whyForbidden(name) != "") != bar {
			t.Errorf("%s: barred %v", name, !bar)
		}
	}
}

// whyForbidden returns why a package that decides may not import another, or "".
func whyForbidden(name string) string {
	if inner, ok := strings.CutPrefix(name, "woaddoor/"); ok {
		for _, p := range allowedPackages {
			if inner == p {
				return ""
			}
		}
		return "it is not a package that decides"
	}
	for _, p := range forbiddenPackages {
		if name == p || strings.HasPrefix(name, p+"/") {
			return "decisions do no I/O and know of no goroutines"
		}
	}
	return ""
}

// imports returns what the files of a folder import, tests left out.
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
