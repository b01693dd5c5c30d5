package daemon

import (
	"os"
	"os/signal"
	"syscall"
)

// Signals are a process's own from its first moment to its last (design 5.5): while they
// are taken no SIGHUP, SIGPIPE, SIGINT or SIGTERM has its default action, which is to end
// the process wherever it is. One that comes while another of its sort waits is the same.
type Signals struct {
	Reload <-chan os.Signal // SIGHUP
	Stop   <-chan os.Signal // SIGINT and SIGTERM
}

// TakeSignals takes them for the rest of the process's life. A write to a closed pipe, on
// whatever descriptor, is an error like any other from here on.
func TakeSignals() Signals {
	reload, stop := make(chan os.Signal, 1), make(chan os.Signal, 1)
	signal.Ignore(syscall.SIGPIPE)
	signal.Notify(reload, syscall.SIGHUP)
	signal.Notify(stop, syscall.SIGINT, syscall.SIGTERM)
	return Signals{reload, stop}
}
