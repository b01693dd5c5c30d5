package main

import (
	"cmp"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"syscall"
	"testing"
	"time"

	"golang.org/x/sys/unix"

	"fernlink/platform"
	"fernlink/shell/daemon"
)

// Given settings that are being written while a process starts, so that its first look
// finds them cut off, when they are whole a moment later, then it starts by the whole
// ones; settings that stay wrong are told, and it ends with 2.
func TestSettingsThatAreWrittenAtAStart(t *testing.T) {
	for name, cut := range map[string]func(text string) int{
		"in the middle":       func(text string) int { return len(text) / 2 },
		"nothing yet":         func(string) int { return 0 },
		"amid the last line":  func(text string) int { return strings.Index(text, "DataDir") + 4 },
		"amid the last value": func(text string) int { return len(text) - 3 },
	} {
		t.Run(name, func(t *testing.T) {
			text := folderLast(t)
			file := settingsFile(t, text[:cut(text)])
			looked := whenRead(t, file)
			running := program(t, nil, "serve", "--settings", file, "--log-level", "info")
			select {
			case <-looked:
			case <-time.After(patience):
				t.Fatalf("it never looked: %s", running.output.String())
			}
			if err := os.WriteFile(file, []byte(text), 0o600); err != nil {
				t.Fatal(err)
			}
			where, _, err := platform.Settings(settingsFile(t, text))
			if err != nil {
				t.Fatal(err)
			}
			running.answers("http://" + where.Web + "/healthz")
			if _, err := os.Stat(where.Data); err != nil {
				t.Errorf("it started without its folder: %v", err)
			}
		})
	}
	t.Run("between two lines", func(t *testing.T) {
		text := folderLast(t)
		file := settingsFile(t, text[:strings.Index(text, "DataDir")])
		running := program(t, nil, "serve", "--settings", file, "--log-level", "info")
		running.logs("msg=started")
		if err := os.WriteFile(file, []byte(text), 0o600); err != nil {
			t.Fatal(err)
		}
		running.signal(syscall.SIGHUP)
		if code := running.code(); code != daemon.ExitOtherSettings || !strings.Contains(running.output.String(), "differs=data") {
			t.Errorf("it goes on without its folder, %d: %s", code, running.output.String())
		}
	})
	text := folderLast(t)
	wrong := program(t, nil, "serve", "--settings", settingsFile(t, text[:len(text)/2]))
	if code := wrong.code(); code != exitUsage || !strings.Contains(wrong.output.String(), "is missing") {
		t.Errorf("%d: %s", code, wrong.output.String())
	}
}

// folderLast is the text of good settings whose last line a node could do without.
func folderLast(t *testing.T) string {
	t.Helper()
	raw, err := os.ReadFile(settings(t))
	if err != nil {
		t.Fatal(err)
	}
	lines := strings.SplitAfter(string(raw), "\n")
	slices.SortFunc(lines, func(a, b string) int {
		return cmp.Compare(strings.Count(a, "DataDir"), strings.Count(b, "DataDir"))
	})
	return strings.Join(lines, "")
}

// whenRead tells when a file was read and closed for the first time from now on.
func whenRead(t *testing.T, file string) <-chan error {
	t.Helper()
	watch, err := unix.InotifyInit1(unix.IN_CLOEXEC)
	if err != nil {
		t.Fatal(err)
	}
	if _, err := unix.InotifyAddWatch(watch, file, unix.IN_CLOSE_NOWRITE); err != nil {
		t.Fatal(err)
	}
	looked := make(chan error, 1)
	go func() {
		_, err := unix.Read(watch, make([]byte, unix.SizeofInotifyEvent))
		_ = unix.Close(watch)
		looked <- err
	}()
	return looked
}

// settingsFile writes a text into a file.
func settingsFile(t *testing.T, text string) string {
	t.Helper()
	file := filepath.Join(t.TempDir(), "whole.conf")
	if err := os.WriteFile(file, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
	return file
}
