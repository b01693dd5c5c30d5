package daemon

import (
	"bufio"
	"bytes"
	"os"
	"path/filepath"
	"runtime/debug"

	"github.com/go-kit/log"
	"github.com/go-kit/log/level"
	"github.com/pkg/errors"
)

// Files of the data folder that hold what the Go runtime wrote when a process
// ended by a panic or a fatal signal.
const (
	CrashFile         = "crash.txt"          // of this start, empty while it runs
	PreviousCrashFile = "crash-previous.txt" // of the newest start that crashed
)

// crashLinesLogged bounds how many lines of an earlier crash are logged: the
// reason and the first stack, not a stack for each goroutine.
const crashLinesLogged = 24

// keepCrashes has the runtime write a copy of a crash into the data folder, and
// logs the crash of the start before this one, if there was one. An error means
// that crashes of this start are not kept; the node runs all the same.
func keepCrashes(folder string, logger log.Logger) error {
	current := filepath.Join(folder, CrashFile)
	if err := reportCrash(current, filepath.Join(folder, PreviousCrashFile), logger); err != nil {
		return err
	}
	file, err := os.Create(current)
	if err != nil {
		return errors.Wrap(err, "daemon: crash file")
	}
	defer file.Close() // the runtime keeps a descriptor of its own
	return errors.Wrap(debug.SetCrashOutput(file, debug.CrashOptions{}), "daemon: crash file")
}

// reportCrash logs what a crash left behind and puts it aside, so that it is
// reported once.
func reportCrash(current, previous string, logger log.Logger) error {
	text, err := os.ReadFile(current)
	if os.IsNotExist(err) || err == nil && len(text) == 0 {
		return nil
	}
	if err != nil {
		return errors.Wrap(err, "daemon: crash file")
	}
	lines := bufio.NewScanner(bytes.NewReader(text))
	for n := 0; n < crashLinesLogged && lines.Scan(); n++ {
		_ = level.Error(logger).Log("part", "daemon", "msg", "the process before this one crashed", "line", n+1, "text", lines.Text())
	}
	return errors.Wrap(os.Rename(current, previous), "daemon: crash file")
}
