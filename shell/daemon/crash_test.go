package daemon

import (
	"bytes"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"testing"

	"github.com/go-kit/log"
)

// crashFolder names the folder in which the child process of
// TestACrashIsKeptAndReportedOnce crashes.
const crashFolder = "FERNLINK_TEST_CRASH_FOLDER"

// Given a node with a data folder, when its process ends by a panic, then the
// next start logs the reason, once, and the whole text stays in the folder.
func TestACrashIsKeptAndReportedOnce(t *testing.T) {
	if folder := os.Getenv(crashFolder); folder != "" {
		if err := keepCrashes(folder, log.NewNopLogger()); err != nil {
			t.Fatal(err)
		}
		done := make(chan bool)
		go func() { panic("the reason of the crash") }()
		<-done
	}
	folder := t.TempDir()
	child := exec.Command(os.Args[0], "-test.run", "^TestACrashIsKeptAndReportedOnce$")
	child.Env = append(os.Environ(), crashFolder+"="+folder)
	if err := child.Run(); err == nil {
		t.Fatal("the child process did not crash")
	}
	var first, second bytes.Buffer
	if err := keepCrashes(folder, log.NewLogfmtLogger(&first)); err != nil {
		t.Fatal(err)
	}
	if !strings.Contains(first.String(), "the reason of the crash") || strings.Count(first.String(), "\n") > crashLinesLogged {
		t.Errorf("the next start logged %q", first.String())
	}
	if err := keepCrashes(folder, log.NewLogfmtLogger(&second)); err != nil || second.Len() > 0 {
		t.Errorf("the start after it logged %q: %v", second.String(), err)
	}
	kept, err := os.ReadFile(filepath.Join(folder, PreviousCrashFile))
	if err != nil || !bytes.Contains(kept, []byte("the reason of the crash")) {
		t.Errorf("kept %q: %v", kept, err)
	}
}

// Given a folder in which no file can be made, when a node starts, then it says
// so instead of pretending that crashes are kept.
func TestCrashesThatCanNotBeKeptAreSaid(t *testing.T) {
	file := filepath.Join(t.TempDir(), "file")
	if err := os.WriteFile(file, nil, 0o600); err != nil {
		t.Fatal(err)
	}
	if err := keepCrashes(file, log.NewNopLogger()); err == nil {
		t.Error("no error")
	}
}
