package main

import (
	"os"
	"path/filepath"
	"testing"

	"fernlink/config"
	"fernlink/core/ledger"
)

// Given a settings file, when it is read again, then that says whether it changed since
// the last look, and one that is gone, wrong or the same has not.
func TestSettingsAreReadAgainWhereTheyChanged(t *testing.T) {
	path := filepath.Join(t.TempDir(), "boot.conf")
	sound := true
	reread := rereadFile(path, func() (config.Config, []ledger.Fault, error) {
		raw, err := os.ReadFile(path)
		if !sound {
			return config.Config{}, []ledger.Fault{{At: "x", Text: "wrong"}}, err
		}
		return config.Config{Name: string(raw)}, nil, err
	})
	write := func(text string) {
		if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
			t.Fatal(err)
		}
	}
	if _, changed := reread(); changed {
		t.Error("one that is not there has changed")
	}
	write("a")
	if settings, changed := reread(); !changed || settings.Name != "a" {
		t.Errorf("%v %q", changed, settings.Name)
	}
	if _, changed := reread(); changed {
		t.Error("the same has changed")
	}
	sound = false
	write("b")
	if _, changed := reread(); changed {
		t.Error("what is wrong has changed")
	}
	sound = true
	write("c")
	if settings, changed := reread(); !changed || settings.Name != "c" {
		t.Errorf("%v %q", changed, settings.Name)
	}
	if err := os.Remove(path); err != nil {
		t.Fatal(err)
	}
	if _, changed := reread(); changed {
		t.Error("one that is gone has changed")
	}
}
