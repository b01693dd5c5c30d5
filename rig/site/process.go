package site

import (
	"io"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/pkg/errors"
	"golang.org/x/sys/unix"
)

// process is one run of a machine's program.
type process struct {
	cmd      *exec.Cmd
	log      *logReader
	expected atomic.Bool   // its end was asked for
	killed   atomic.Bool   // ... without grace
	ended    chan struct{} // closed once it is over
	began    time.Time
}

// startupTime is within what two starts of one machine are told to be at the same moment.
const startupTime = 500 * time.Millisecond

// endedEarly says whether a signal ended a process before it had taken its signals, as it
// ends any program. It has taken them before it writes its first line.
func (p *process) endedEarly() bool {
	<-p.log.over
	status, _ := p.cmd.ProcessState.Sys().(syscall.WaitStatus)
	return !p.log.any.Load() && status.Signaled() && (status.Signal() == syscall.SIGTERM || status.Signal() == syscall.SIGHUP)
}

// endedInOrder says whether a process that was asked to stop ended as it should.
func (p *process) endedInOrder() bool {
	return p.cmd.ProcessState.Success() || p.killed.Load() || p.endedEarly()
}

// spawn starts a program whose output goes through a pipe into a file.
func spawn(program string, args []string, logFile string) (*process, error) {
	file, err := os.OpenFile(logFile, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o644)
	if err != nil {
		return nil, errors.Wrap(err, "site: log")
	}
	input, output, err := os.Pipe()
	if err != nil {
		_ = file.Close()
		return nil, errors.Wrap(err, "site: log")
	}
	defer output.Close()
	if _, err := unix.FcntlInt(output.Fd(), unix.F_SETPIPE_SZ, logChunk); err != nil {
		return nil, errors.Wrap(err, "site: log")
	}
	cmd := exec.Command(program, args...)
	cmd.Stdout, cmd.Stderr = output, output
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := cmd.Start(); err != nil {
		_, _ = input.Close(), file.Close()
		return nil, errors.Wrap(err, "site: start "+filepath.Base(logFile))
	}
	started := &process{cmd: cmd, log: &logReader{input: input, file: file, over: make(chan struct{})}, ended: make(chan struct{}), began: time.Now()}
	go started.log.copy()
	go func() {
		_ = cmd.Wait()
		close(started.ended)
	}()
	return started, nil
}

// signal sends a signal; one to a process that is over goes nowhere.
func (p *process) signal(s syscall.Signal) { _ = p.cmd.Process.Signal(s) }

// kill ends the process at once and waits for that.
func (p *process) kill() {
	p.expected.Store(true)
	p.killed.Store(true)
	p.signal(syscall.SIGKILL)
	<-p.ended
}

// isOver says whether the process has ended.
func (p *process) isOver() bool {
	select {
	case <-p.ended:
		return true
	default:
		return false
	}
}

// endsWithin says whether the process is over within a time.
func (p *process) endsWithin(most time.Duration) bool {
	select {
	case <-p.ended:
		return true
	case <-time.After(most):
		return false
	}
}

// logReader reads what a process writes, as long as it is let.
type logReader struct {
	input, file *os.File
	paused      sync.Mutex    // held while nothing is to be read
	any         atomic.Bool   // something was read
	over        chan struct{} // closed once nothing more comes
}

// pause reads nothing for a while, but for what is being read.
func (r *logReader) pause(length time.Duration) {
	r.paused.Lock()
	defer r.paused.Unlock()
	time.Sleep(length)
}

// logChunk is how many bytes are read at once, and how many wait in the pipe before the
// writer is held up.
const logChunk = 4 << 10

// keep writes what was read, once reading is not paused.
func (r *logReader) keep(text []byte) {
	r.paused.Lock()
	defer r.paused.Unlock()
	_, _ = r.file.Write(text)
}

func (r *logReader) copy() {
	defer close(r.over)
	defer r.file.Close()
	defer r.input.Close()
	buffer := make([]byte, logChunk)
	for {
		n, err := r.input.Read(buffer)
		if n > 0 {
			r.any.Store(true)
			r.keep(buffer[:n])
		}
		if err != nil {
			if err != io.EOF {
				_, _ = io.WriteString(r.file, "log reader: "+err.Error()+"\n")
			}
			return
		}
	}
}
