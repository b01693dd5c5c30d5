package serve

import (
	"fmt"
	"go/ast"
	"go/parser"
	"go/token"
	"io/fs"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"fernlink/core/flow"
)

// story runs a request, a refused one, a lot and its end.
func story(w *world) {
	w.ask("h", "/a/x", 500)
	w.end(w.app()[0], 200, "ok")
	w.ask("nowhere", "/", 500)
	w.lot(1, 2, 1)
	for _, x := range w.llm() {
		w.head(x, 1)
		w.event(x, 0, "a")
		w.done(x)
	}
	w.pass(time.Second)
	w.call("lot.end", flow.Call{Vars: map[string]string{"id": "lot1"}})
}

// Given the debug level, when requests and lots come and go, then each step of
// theirs is noted with the names by which it is looked for.
func TestTracesAtDebug(t *testing.T) {
	w := two(t)
	w.s.env.Debug = true
	story(w)
	var got []string
	for _, n := range w.notes {
		if n.Level != flow.Debug {
			continue
		}
		line := n.Part + " " + n.Text
		for i := 0; i+1 < len(n.Args); i += 2 {
			line += fmt.Sprintf(" %v=%v", n.Args[i], n.Args[i+1])
		}
		got = append(got, line)
	}
	all := strings.Join(got, "\n")
	for _, want := range []string{"requests accepted request=t1 call=1 route=r pool=app", "requests sent request=t1 call=1 engine=e", "requests answered request=t1",
		"requests passed request=t1 call=1 code=200", "serve refused request=t2 call=2 why=no route is known", "lots accepted lot=lot1 code=200 items=2",
		"lots adopted lot=lot1 left=2", "lots sent lot=lot1 item=", "lots first token lot=lot1 item=", "lots finished lot=lot1 item=",
		"lots listed lot=lot1 item=", "lots ended lot=lot1"} {
		if !strings.Contains(all, want) {
			t.Errorf("no %q in\n%s", want, all)
		}
	}
}

// Given any other level, when the same happens, then nothing is made of it.
func TestNoTracesElse(t *testing.T) {
	w := two(t)
	story(w)
	for _, n := range w.notes {
		if n.Level == flow.Debug {
			t.Errorf("noted: %+v", n)
		}
	}
}

// Given the serving side's sources, when they are read, then every trace stands
// behind a look at the switch, so that one that is off costs nothing.
func TestTracesAreGuarded(t *testing.T) {
	seen := 0
	err := filepath.WalkDir(".", func(path string, _ fs.DirEntry, err error) error {
		if err != nil || !strings.HasSuffix(path, ".go") || strings.HasSuffix(path, "_test.go") {
			return err
		}
		set := token.NewFileSet()
		file, err := parser.ParseFile(set, path, nil, 0)
		if err != nil {
			return err
		}
		var guarded []ast.Node
		ast.Inspect(file, func(n ast.Node) bool {
			if x, ok := n.(*ast.IfStmt); ok && looksAtDebug(x.Cond) {
				guarded = append(guarded, x.Body)
			}
			if f, ok := n.(*ast.FuncDecl); ok && f.Name.Name == "trace" {
				return false // its callers are held to it
			}
			c, ok := n.(*ast.CallExpr)
			if !ok {
				return true
			}
			if s, ok := c.Fun.(*ast.SelectorExpr); ok && strings.EqualFold(s.Sel.Name, "trace") {
				seen++
				for _, g := range guarded {
					if g.Pos() <= c.Pos() && c.End() <= g.End() {
						return true
					}
				}
				t.Errorf("%s: a trace without a guard", set.Position(c.Pos()))
			}
			return true
		})
		return nil
	})
	if err != nil || seen < 10 {
		t.Fatalf("%d traces seen: %v", seen, err)
	}
}

func looksAtDebug(e ast.Expr) bool {
	found := false
	ast.Inspect(e, func(n ast.Node) bool {
		if s, ok := n.(*ast.SelectorExpr); ok && s.Sel.Name == "Debug" {
			found = true
		}
		return !found
	})
	return found
}

// What a request costs the cores with traces off and on.
func BenchmarkRequest(b *testing.B) {
	for name, on := range map[string]bool{"off": false, "debug": true} {
		b.Run(name, func(b *testing.B) {
			w := two(&testing.T{})
			w.s.env.Debug = on
			b.ReportAllocs()
			for b.Loop() {
				w.ask("h", "/a/x", 500)
				w.end(w.app()[0], 200, "ok")
				w.replies, w.notes, w.order = w.replies[:0], w.notes[:0], w.order[:0]
			}
		})
	}
}
