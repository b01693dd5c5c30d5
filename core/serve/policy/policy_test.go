package policy

import (
	"os"
	"path/filepath"
	"regexp"
	"strings"
	"testing"

	"github.com/pkg/errors"
)

// Given names of mechanisms, when they are left out, then these are off and all others on;
// one that is no mechanism is refused.
func TestMechanismsAreLeftOut(t *testing.T) {
	set, err := Without([]string{"hedging", "told-load"})
	if err != nil {
		t.Fatal(err)
	}
	for _, name := range Names {
		if got, want := set.On(name), name != Hedging && name != ToldLoad; got != want {
			t.Errorf("%s is on: %v", name, got)
		}
		if !(Set{}).On(name) {
			t.Errorf("%s is off where nothing is left out", name)
		}
	}
	if _, err := Without([]string{"hedges"}); !errors.Is(err, ErrUnknown) {
		t.Errorf("an unknown name: %v", err)
	}
}

// Given the table of mechanisms, when the code that decides is read, then each of them is
// asked for there: a name without code would be measured as worth nothing.
func TestEachMechanismIsAskedFor(t *testing.T) {
	source, err := os.ReadFile("policy.go")
	if err != nil {
		t.Fatal(err)
	}
	constants := regexp.MustCompile(`(?m)^\t([A-Z]\w+) Name = `).FindAllStringSubmatch(string(source), -1)
	if len(constants) != len(Names) {
		t.Errorf("%d constants, %d names", len(constants), len(Names))
	}
	var deciding strings.Builder
	files, _ := filepath.Glob("../*/*.go")
	for _, file := range files {
		if strings.HasSuffix(file, "_test.go") {
			continue
		}
		text, err := os.ReadFile(file)
		if err != nil {
			t.Fatal(err)
		}
		deciding.Write(text)
	}
	for _, name := range constants {
		if !strings.Contains(deciding.String(), "Policies.On(policy."+name[1]+")") {
			t.Errorf("nothing asks for %s", name[1])
		}
	}
}
