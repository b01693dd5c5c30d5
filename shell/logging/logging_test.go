package logging

import (
	"errors"
	"fmt"
	"strings"
	"sync"
	"testing"
	"time"
)

// gated is an output that takes nothing until it is opened.
type gated struct {
	open chan struct{}
	mu   sync.Mutex
	text strings.Builder
}

func (g *gated) Write(line []byte) (int, error) {
	<-g.open
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.text.Write(line)
}

func (g *gated) String() string {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.text.String()
}

// Given an output that takes lines, when the sink is closed, then all are there in their
// order, each with its time and level.
func TestLinesAreWrittenInOrder(t *testing.T) {
	output := &gated{open: make(chan struct{})}
	close(output.open)
	sink := Open(output)
	logger := New(sink, "info")
	for n := range 100 {
		_ = logger.Log("n", n)
	}
	sink.Close()
	lines := strings.Split(strings.TrimSpace(output.String()), "\n")
	if len(lines) != 100 || sink.Dropped() != 0 {
		t.Fatalf("%d lines, %d dropped", len(lines), sink.Dropped())
	}
	for n, line := range lines {
		if !strings.HasPrefix(line, "ts=") || !strings.HasSuffix(line, fmt.Sprintf(" n=%d", n)) {
			t.Fatalf("line %d is %q", n, line)
		}
	}
}

// Given an output that takes nothing, when more is logged than may wait, then nobody is
// held up, the close takes a bounded time, and what is lost is counted once the output
// takes lines again.
func TestAnOutputThatTakesNothing(t *testing.T) {
	output := &gated{open: make(chan struct{})}
	sink := Open(output)
	for n := range 3 * linesMost {
		_, _ = fmt.Fprintf(sink, "%d\n", n)
	}
	began := time.Now()
	sink.Close()
	if took := time.Since(began); took > 5*closeWait {
		t.Errorf("the close took %v", took)
	}
	close(output.open)
	<-written(sink, output, 3*linesMost)
	if sink.Dropped() < linesMost {
		t.Errorf("%d of %d dropped", sink.Dropped(), 3*linesMost)
	}
}

// written tells when each line was either written or counted as dropped.
func written(sink *Sink, output *gated, lines int) <-chan struct{} {
	done := make(chan struct{})
	go func() {
		defer close(done)
		for range time.Tick(time.Millisecond) {
			if strings.Count(output.String(), "\n")+int(sink.Dropped()) >= lines {
				return
			}
		}
	}()
	return done
}

// broken is an output whose reader is gone.
type broken struct{}

func (broken) Write([]byte) (int, error) { return 0, errors.New("broken pipe") }

// Given an output whose reader is gone, when lines are logged, then each is counted.
func TestLinesThatCanNotBeWrittenAreCounted(t *testing.T) {
	sink := Open(broken{})
	for range 10 {
		_, _ = fmt.Fprintln(sink, "line")
	}
	sink.Close()
	if sink.Dropped() != 10 {
		t.Errorf("%d dropped", sink.Dropped())
	}
}
