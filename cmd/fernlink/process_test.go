package main

import (
	"bytes"
	"fmt"
	"io"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"golang.org/x/sys/unix"

	"fernlink/config"
	"fernlink/platform"
)

// asProgram makes a child of the test binary run as the program itself.
const asProgram = "FERNLINK_TEST_AS_PROGRAM"

// fewFiles bounds the descriptors of such a child, smallFiles how many bytes its files may
// have.
const (
	fewFiles   = "FERNLINK_TEST_FILES"
	smallFiles = "FERNLINK_TEST_FILE_BYTES"
)

// setLimit takes a limit of the process from a variable, if it is there.
func setLimit(variable string, resource int) {
	most, err := strconv.ParseUint(os.Getenv(variable), 10, 64)
	if err != nil {
		return
	}
	limit := unix.Rlimit{Cur: most, Max: most}
	if resource == unix.RLIMIT_FSIZE {
		limit.Max = unix.RLIM_INFINITY // it may be lifted again
	}
	if err := unix.Setrlimit(resource, &limit); err != nil {
		panic(err)
	}
}

func TestMain(m *testing.M) {
	if os.Getenv(asProgram) != "" {
		setLimit(fewFiles, unix.RLIMIT_NOFILE)
		setLimit(smallFiles, unix.RLIMIT_FSIZE)
		main()
		return
	}
	os.Exit(m.Run())
}

// patience is how long a process may take for what it does at once on a calm machine.
const patience = 20 * time.Second

// child is a real process of the program.
type child struct {
	t      *testing.T
	cmd    *exec.Cmd
	ended  chan error
	output sharedBuffer
}

// sharedBuffer is written by a process while the test reads it.
type sharedBuffer struct {
	mu   sync.Mutex
	text bytes.Buffer
}

func (b *sharedBuffer) Write(text []byte) (int, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.text.Write(text)
}

func (b *sharedBuffer) String() string {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.text.String()
}

// logs waits until the process has logged a text.
func (c *child) logs(text string) {
	c.t.Helper()
	again := time.NewTicker(10 * time.Millisecond)
	defer again.Stop()
	for end := time.After(patience); !strings.Contains(c.output.String(), text); {
		select {
		case <-again.C:
		case err := <-c.ended:
			c.t.Fatalf("it ended before it logged %q: %v %s", text, err, c.output.String())
		case <-end:
			c.t.Fatalf("%q is never logged: %s", text, c.output.String())
		}
	}
}

// program starts the program with arguments. Its output goes to a file if one is given.
func program(t *testing.T, output *os.File, args ...string) *child {
	t.Helper()
	c := &child{t: t, cmd: exec.Command(os.Args[0], args...), ended: make(chan error, 1)}
	c.cmd.Env = append(os.Environ(), asProgram+"=1")
	c.cmd.Stdout, c.cmd.Stderr = &c.output, &c.output
	if output != nil {
		c.cmd.Stdout, c.cmd.Stderr = output, output
	}
	if err := c.cmd.Start(); err != nil {
		t.Fatal(err)
	}
	go func() { c.ended <- c.cmd.Wait() }()
	t.Cleanup(func() { _ = c.cmd.Process.Kill() })
	return c
}

// code waits for the process to end and gives its exit code, below zero for a signal.
func (c *child) code() int {
	c.t.Helper()
	select {
	case <-c.ended:
		return c.cmd.ProcessState.ExitCode()
	case <-time.After(patience):
		c.t.Fatalf("the process goes on: %s", c.output.String())
		return 0
	}
}

// answers waits until a URL answers 200, and fails if the process ends before.
func (c *child) answers(url string) {
	c.t.Helper()
	client := http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	again := time.NewTicker(20 * time.Millisecond)
	defer again.Stop()
	for end := time.Now().Add(patience); ; {
		select {
		case err := <-c.ended:
			c.t.Fatalf("the process ended by itself: %v %s", err, c.output.String())
		case <-again.C:
		}
		if response, err := client.Get(url); err == nil {
			_, _ = io.Copy(io.Discard, response.Body)
			_ = response.Body.Close()
			if response.StatusCode == http.StatusOK {
				return
			}
		}
		if time.Now().After(end) {
			c.t.Fatalf("%s does not answer: %s", url, c.output.String())
		}
	}
}

// place is a node's addresses, with free ports.
type place struct{ addr, web, data string }

func newPlace(t *testing.T) place {
	ports := free(t, 2)
	return place{fmt.Sprintf("127.0.0.1:%d", ports[0]), fmt.Sprintf("127.0.0.1:%d", ports[1]), filepath.Join(t.TempDir(), "data")}
}

// alone are the arguments of a node that forms a cluster of itself.
func (p place) alone(more ...string) []string {
	return append([]string{"node", "--addr", p.addr, "--web", p.web, "--zone", "a", "--roles", "store,coordinator", "--seeds", p.addr, "--form", p.addr, "--data", p.data}, more...)
}

func (p place) health() string { return "http://" + p.web + "/healthz" }

// contents gives all files of a folder.
func contents(t *testing.T, folder string) map[string]string {
	t.Helper()
	names, err := os.ReadDir(folder)
	if err != nil {
		t.Fatal(err)
	}
	files := map[string]string{}
	for _, name := range names {
		raw, err := os.ReadFile(filepath.Join(folder, name.Name()))
		if err != nil {
			t.Fatal(err)
		}
		files[name.Name()] = string(raw)
	}
	return files
}

// refused makes a request that is refused at once.
func (c *child) refused(url string) {
	c.t.Helper()
	client := http.Client{Timeout: 2 * time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	response, err := client.Get(url)
	if err != nil {
		c.t.Fatalf("no answer: %v", err)
	}
	_ = response.Body.Close()
}

// served is a process of `fernlink serve` with settings of its own.
type served struct {
	*child
	where config.Config
}

// serve starts one with good settings and more arguments.
func serve(t *testing.T, output *os.File, args ...string) served {
	t.Helper()
	file := settings(t)
	where, _, err := platform.Settings(file)
	if err != nil {
		t.Fatal(err)
	}
	return served{program(t, output, append([]string{"serve", "--settings", file}, args...)...), where}
}

// health is where it says that it runs.
func (s served) health() string { return "http://" + s.where.Web + "/healthz" }

// end tells it to stop, and fails if it does not end in order.
func (c *child) end() {
	c.t.Helper()
	c.signal(syscall.SIGTERM)
	if code := c.code(); code != 0 {
		c.t.Errorf("ended with %d (%s): %s", code, c.cmd.ProcessState, c.output.String())
	}
}

// signal sends a signal.
func (c *child) signal(s syscall.Signal) {
	c.t.Helper()
	if err := c.cmd.Process.Signal(s); err != nil {
		c.t.Fatal(err)
	}
}
