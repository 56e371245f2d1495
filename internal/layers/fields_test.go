package layers

import (
	"go/ast"
	"go/types"
	"slices"
	"testing"

	"golang.org/x/tools/go/packages"
)

// decodedTypes are the types into which messages from other processes are decoded, by
// package. A field of theirs that no code reads is information that the sender provides in
// vain. Such a field hid a fault: the time after which an engine wanted new requests was
// decoded and never read, so engines that asked for a pause got none.
var decodedTypes = map[string][]string{
	"woaddoor/relay":      {"Head", "Load", "Request", "Rest", "Sent", "Opinion"},
	"woaddoor/upstream":   {"Entry", "Said"},
	"woaddoor/engine":     {"CallError", "PlainAnswer"},
	"woaddoor/route":      {"Route", "Service", "Workspace", "Limits"},
	"woaddoor/rollout":    {"Order"},
	"woaddoor/scaling":    {"Limits", "Work"},
	"woaddoor/site":       {"Evacuation", "Word", "Reads", "LeaseWord", "Gathered"},
	"woaddoor/contract":   {"Load", "Life"},
	"woaddoor/quarantine": {"Held", "Told", "ToldEnd"},
}

// unreadFields are fields that are deliberately not read, with the reason.
var unreadFields = map[string]string{
	"route.Limits.Header":        "the listener is opened before a configuration is known, and callers stay within this limit",
	"route.Limits.HeaderTimeout": "as Header",
	"route.Limits.Idling":        "as Header; idle connections stay open for longer than callers use them",
	"relay.Load.Slots":           "the upstream's entry holds the same value, which does not change",
	"route.Service.ID":           "the service is stored in a map under this ID",
}

// TestDecodedFieldsAreRead checks that every field of decodedTypes is read somewhere in the
// product, outside tests.
func TestDecodedFieldsAreRead(t *testing.T) {
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
		for _, name := range decodedTypes[p.PkgPath] {
			addFields(t, fields, p, name)
		}
	}
	read := make(map[types.Object]bool)
	for _, p := range all {
		for _, f := range p.Syntax {
			recordReads(f, p.TypesInfo, read)
		}
	}
	for f, name := range fields {
		if reason := unreadFields[name]; !read[f] && reason == "" {
			t.Errorf("%s is decoded and never read", name)
		} else if read[f] && reason != "" {
			t.Errorf("%s is read, but listed in unreadFields: %s", name, reason)
		}
	}
}

// addFields adds the fields of a struct type to a map from field to qualified name.
func addFields(t *testing.T, to map[types.Object]string, p *packages.Package, name string) {
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
		to[s.Field(i)] = p.Name + "." + name + "." + s.Field(i).Name()
	}
}

// recordReads records which fields a file reads: every selected field, except on the left
// of an assignment, and the embedded fields through which a selection passes.
func recordReads(f *ast.File, info *types.Info, read map[types.Object]bool) {
	var written []ast.Expr
	ast.Inspect(f, func(n ast.Node) bool {
		if a, ok := n.(*ast.AssignStmt); ok {
			written = append(written, a.Lhs...)
		}
		sel, ok := n.(*ast.SelectorExpr)
		if !ok {
			return true
		}
		s := info.Selections[sel]
		if s == nil || slices.Contains(written, ast.Expr(sel)) {
			return true
		}
		indexes := s.Index()
		if s.Kind() != types.FieldVal {
			indexes = indexes[:len(indexes)-1] // the last index is that of the method
		}
		current := s.Recv()
		for _, i := range indexes {
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
