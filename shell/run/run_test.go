package run

import (
	"bytes"
	"strings"
	"testing"

	"github.com/go-kit/log/level"

	"fernlink/core/flow"
)

// Given each level, when notes of all levels come, then those below it are not
// written, and each line says its own.
func TestOneLevelForAll(t *testing.T) {
	for name, want := range map[string]string{"": "info warn error", "debug": "debug info warn error", "info": "info warn error", "warn": "warn error", "error": "error"} {
		var b bytes.Buffer
		l := New(Logger(&b, name))
		l.Least = Levels[name]
		var out flow.Outbox
		for _, v := range []flow.Level{flow.Debug, flow.Info, flow.Warn, flow.Error} {
			v.Note(&out, "store", "said")
		}
		l.emit(out)
		_ = level.Debug(l.Logger).Log("msg", "a shell's")
		var got []string
		for _, line := range strings.Split(strings.TrimSpace(b.String()), "\n") {
			f := strings.Fields(line)
			if strings.Contains(line, "part=store") {
				got = append(got, strings.TrimPrefix(f[1], "level="))
			} else if name != "debug" {
				t.Errorf("%q writes %q", name, line)
			}
		}
		if strings.Join(got, " ") != want {
			t.Errorf("%q writes %q, want %q", name, got, want)
		}
	}
}
