package layers

import (
	"go/ast"
	"go/types"
	"slices"
	"testing"

	"golang.org/x/tools/go/packages"
)

// decodedTypes are the types that hold what others say, decoded from what they send. A field of
// theirs that nobody reads is a word that nobody hears: an engine's time to come back was
// decoded for long, and engines that asked for a rest got none.
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

// unreadFields are fields that are not read, and why.
var unreadFields = map[string]string{
	"route.Limits.Header":        "a listener is opened before a configuration is known; callers keep within it",
	"route.Limits.HeaderTimeout": "as Header",
	"route.Limits.Idling":        "as Header; idle connections are kept for longer than callers use them",
	"relay.Load.Slots":           "the upstream's entry says the same, and does not change",
	"route.Service.ID":           "it is the key under which the service stands",
}

// TestDecodedFieldsAreRead checks that each field of what others say is read somewhere in the
// product, tests apart.
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
		if why := unreadFields[name]; !read[f] && why == "" {
			t.Errorf("%s is told and never read", name)
		} else if read[f] && why != "" {
			t.Errorf("%s is read, and listed as not: %s", name, why)
		}
	}
}

// addFields adds the fields of a type by their names.
func addFields(t *testing.T, to map[types.Object]string, p *packages.Package, name string) {
	t.Helper()
	found := p.Types.Scope().Lookup(name)
	if found == nil {
		t.Errorf("%s has no type %s", p.PkgPath, name)
		return
	}
	s, ok := found.Type().Underlying().(*types.Struct)
	if !ok {
		t.Errorf("%s.%s is no struct", p.PkgPath, name)
		return
	}
	for i := range s.NumFields() {
		to[s.Field(i)] = p.Name + "." + name + "." + s.Field(i).Name()
	}
}

// recordReads notes which fields a file reads: those selected, but on the left of an
// assignment, and embedded ones on the way to what is selected.
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
		way := s.Index()
		if s.Kind() != types.FieldVal {
			way = way[:len(way)-1] // the last one is a method's
		}
		at := s.Recv()
		for _, i := range way {
			if p, ok := at.Underlying().(*types.Pointer); ok {
				at = p.Elem()
			}
			field := at.Underlying().(*types.Struct).Field(i)
			read[field] = true
			at = field.Type()
		}
		return true
	})
}
