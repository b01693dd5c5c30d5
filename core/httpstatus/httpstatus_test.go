package httpstatus

import (
	"go/ast"
	"go/parser"
	"go/token"
	"net/http"
	"path/filepath"
	"slices"
	"strconv"
	"strings"
	"testing"

	"fernlink/core/ledger"
)

// Given every outcome of the store, when it becomes a status, then each has its
// own, the one that callers have always heard; one of another build is a fault.
func TestEveryOutcomeHasItsStatus(t *testing.T) {
	want := map[ledger.Outcome]int{ledger.Accepted: 200, ledger.Invalid: 400, ledger.NotFound: 404, ledger.Conflict: 409, ledger.Retired: 410,
		ledger.Oversized: 413, ledger.Rejected: 422, ledger.Full: 429, ledger.Failed: 500, ledger.Unavailable: 503}
	if len(ledger.Outcomes()) != len(want) {
		t.Errorf("outcomes: %v", ledger.Outcomes())
	}
	for _, outcome := range ledger.Outcomes() {
		if got := Of(outcome); got != want[outcome] {
			t.Errorf("outcome %d is told as %d, wanted %d", outcome, got, want[outcome])
		}
	}
	if got := Of(ledger.Outcome(299)); got != http.StatusInternalServerError {
		t.Errorf("an unknown outcome is told as %d", got)
	}
}

// numbersIn gives the places in a package, but for tests and files named except,
// where one of the outcomes' numbers is written out.
func numbersIn(t *testing.T, dir string, except ...string) (places []string) {
	t.Helper()
	numbers := map[string]bool{}
	for _, outcome := range ledger.Outcomes() {
		numbers[strconv.Itoa(int(outcome))] = true
	}
	names, err := filepath.Glob(filepath.Join(dir, "*.go"))
	if err != nil || len(names) == 0 {
		t.Fatalf("%s: %v", dir, err)
	}
	files := token.NewFileSet()
	for _, name := range names {
		if strings.HasSuffix(name, "_test.go") || slices.Contains(except, filepath.Base(name)) {
			continue
		}
		file, err := parser.ParseFile(files, name, nil, 0)
		if err != nil {
			t.Fatal(err)
		}
		ast.Inspect(file, func(n ast.Node) bool {
			if product, ok := n.(*ast.BinaryExpr); ok && product.Op == token.MUL {
				return false // a length of time
			}
			if x, ok := n.(*ast.BasicLit); ok && numbers[x.Value] {
				places = append(places, files.Position(x.Pos()).String())
			}
			return true
		})
	}
	return places
}

// Given the packages between store and callers, when they are read, then none
// writes the number of an outcome: they go by its name.
func TestOutcomesGoByTheirNames(t *testing.T) {
	for dir, except := range map[string][]string{"../ledger": {"outcome.go"}, "../store": nil, "../ask": nil, "../disp": nil,
		"../serve": nil, "../serve/env": nil, "../serve/lots": {"owners.go"}, "../serve/requests": nil,
		"../coord": nil, "../node": nil, "../flow": nil, "../../platform": nil} {
		for _, place := range numbersIn(t, dir, except...) {
			t.Errorf("%s: the number of an outcome", place)
		}
	}
}
