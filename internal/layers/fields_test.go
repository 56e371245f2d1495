package layers

import (
	"go/ast"
	"go/types"
	"slices"
	"testing"

	"golang.org/x/tools/go/packages"
)

// receivedTypes lists, by package, the types that are decoded from what other processes send. A
// field that is never read is received and ignored: a Retry-After time of engines was once decoded
// without effect, and engines that asked for a back-off did not get one.
var receivedTypes = map[string][]string{
	"woaddoor/relay":      {"ResponseHead", "Load", "Request", "Backoff", "SentPrompt", "ConfidenceReport"},
	"woaddoor/upstream":   {"Entry", "Notices"},
	"woaddoor/engine":     {"CallError", "PlainResponse"},
	"woaddoor/route":      {"Route", "Service", "Workspace", "Limits"},
	"woaddoor/rollout":    {"ReleaseOrder"},
	"woaddoor/scaling":    {"Limits", "Load"},
	"woaddoor/site":       {"Evacuation", "GossipMessage", "UpstreamReport", "LeaseStatus", "UsageReport"},
	"woaddoor/contract":   {"LoadReport", "UpstreamInstance"},
	"woaddoor/quarantine": {"QuarantinedContent", "Update", "CrashUpdate"},
}

// unreadFields lists the fields that are deliberately not read, and why.
var unreadFields = map[string]string{
	"route.Limits.Header":        "a listener is opened before a configuration is known; heads are bounded by the memory of the account for callers",
	"route.Limits.HeaderTimeout": "as for Header",
	"route.Limits.IdleTimeout":   "as for Header; idle connections are kept for longer than callers use them, and closed for new ones",
	"relay.Load.Slots":           "the upstream's entry holds the same number, which does not change",
	"route.Service.ID":           "services are stored under this key",
}

// TestEveryReceivedFieldIsRead checks that the product reads each field of the received types
// somewhere outside tests.
func TestEveryReceivedFieldIsRead(t *testing.T) {
	all, err := packages.Load(&packages.Config{
		Dir:  "../..",
		Mode: packages.NeedName | packages.NeedSyntax | packages.NeedTypes | packages.NeedTypesInfo | packages.NeedImports | packages.NeedDeps,
	}, "./...")
	if err != nil {
		t.Fatal(err)
	}
	fields := make(map[types.Object]string)
	for _, p := range all {
		for _, e := range p.Errors {
			t.Fatal(e)
		}
		for _, name := range receivedTypes[p.PkgPath] {
			addFields(t, fields, p, name)
		}
	}
	read := make(map[types.Object]bool)
	for _, p := range all {
		for _, f := range p.Syntax {
			collectReads(f, p.TypesInfo, read)
		}
	}
	for f, name := range fields {
		if reason := unreadFields[name]; !read[f] && reason == "" {
			t.Errorf("%s is received and never read", name)
		} else if read[f] && reason != "" {
			t.Errorf("%s is read, but listed as unread: %s", name, reason)
		}
	}
}

// addFields adds the fields of a struct type, each with its qualified name.
func addFields(t *testing.T, fields map[types.Object]string, p *packages.Package, name string) {
	t.Helper()
	found := p.Types.Scope().Lookup(name)
	if found == nil {
		t.Errorf("%s has no type %s", p.PkgPath, name)
		return
	}
	s, ok := found.Type().Underlying().(*types.Struct)
	if !ok {
		t.Errorf("%s.%s is not a struct", p.PkgPath, name)
		return
	}
	for i := range s.NumFields() {
		fields[s.Field(i)] = p.Name + "." + name + "." + s.Field(i).Name()
	}
}

// collectReads records which fields a file reads: those that are selected other than on the left
// of an assignment, and the embedded fields on the path to a selected one.
func collectReads(f *ast.File, info *types.Info, read map[types.Object]bool) {
	var written []ast.Expr
	ast.Inspect(f, func(n ast.Node) bool {
		if a, ok := n.(*ast.AssignStmt); ok {
			written = append(written, a.Lhs...)
		}
		sel, ok := n.(*ast.SelectorExpr)
		if !ok {
			return true
		}
		selection := info.Selections[sel]
		if selection == nil || slices.Contains(written, ast.Expr(sel)) {
			return true
		}
		path := selection.Index()
		if selection.Kind() != types.FieldVal {
			path = path[:len(path)-1] // the last index is that of a method
		}
		current := selection.Recv()
		for _, i := range path {
			if p, ok := current.Underlying().(*types.Pointer); ok {
				current = p.Elem()
			}
			field := current.Underlying().(*types.Struct).Field(i)
			read[field] = true
			current = field.Type()
		}
		return true
	})
}
