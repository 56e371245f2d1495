// Package layers checks what the product's packages may import, and that they use what they
// decode. It contains only tests.
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

// purePackages are the packages that make decisions from typed events and a given time, without
// side effects. They behave the same in a property test, in a measurement and in production.
var purePackages = []string{
	"bill", "cascade", "contract", "datacentre", "document", "lease", "overload", "permit", "prefill",
	"quarantine", "retry", "rollout", "scaling", "session", "stream", "ticket", "upstream", "usage", "vm", "workspace",
}

// allowedImports are the packages of the project that a pure package may import: the other pure
// packages, the typed form of a configuration, and the signing of texts.
var allowedImports = append([]string{"config", "sign"}, purePackages...)

// forbiddenImports are packages, of the standard library and others, that do I/O, log, measure or
// schedule work for later.
var forbiddenImports = []string{
	"context", "io", "log", "net", "os", "sync", "syscall",
	"github.com/quic-go", "github.com/rcrowley/go-metrics", "go.uber.org/zap",
}

// TestPurePackagesImportNoIO checks that no pure package imports a package that does I/O, logs or
// synchronizes goroutines. Its decisions then depend only on its inputs.
func TestPurePackagesImportNoIO(t *testing.T) {
	for _, pkg := range purePackages {
		for _, name := range imports(t, filepath.Join("..", "..", pkg)) {
			if reason := forbiddenReason(name); reason != "" {
				t.Errorf("%s imports %s: %s", pkg, name, reason)
			}
		}
	}
}

// TestForbiddenReason checks that the import rules accept and reject the right packages.
func TestForbiddenReason(t *testing.T) {
	for name, forbidden := range map[string]bool{
		"time": false, "math/rand/v2": false, "woaddoor/contract": false, "woaddoor/config": false, "errors": false,
		"net/http": true, "os": true, "sync/atomic": true, "context": true, "woaddoor/link": true, "woaddoor/engine": true, "go.uber.org/zap": true,
	} {
		if (forbiddenReason(name) != "") != forbidden {
			t.Errorf("%s: forbidden is %v", name, !forbidden)
		}
	}
}

// forbiddenReason returns why a pure package must not import another package, or "" if it may.
func forbiddenReason(name string) string {
	if projectPackage, ok := strings.CutPrefix(name, "woaddoor/"); ok {
		for _, p := range allowedImports {
			if projectPackage == p {
				return ""
			}
		}
		return "it is not a pure package"
	}
	for _, p := range forbiddenImports {
		if name == p || strings.HasPrefix(name, p+"/") {
			return "pure packages do no I/O and do not synchronize goroutines"
		}
	}
	return ""
}

// imports returns the imports of the Go files in a folder, tests excluded.
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
		for _, spec := range f.Imports {
			name, err := strconv.Unquote(spec.Path.Value)
			if err != nil {
				t.Fatal(err)
			}
			names = append(names, name)
		}
	}
	return names
}
