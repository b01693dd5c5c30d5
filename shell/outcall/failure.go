package outcall

import (
	"context"
	"io"
	"net"
	"syscall"

	"github.com/pkg/errors"

	"fernlink/core/flow"
)

// failure is why a send brought no whole answer.
type failure struct {
	kind flow.Failure
	why  string
}

// Error tells people.
func (f *failure) Error() string { return "outcall: " + f.why }

// malformed is a failure for what forms no answer.
func malformed(why string) error { return &failure{flow.Malformed, why} }

// unsent is the news of a send of which no byte left.
func unsent(err error) flow.Back { return flow.Back{Err: err.Error(), Failure: flow.Unsent} }

// broken is the news of a send that may have run. Heard says that a byte of an answer
// came.
func broken(err error, heard bool) flow.Back {
	return flow.Back{Err: err.Error(), Failure: kindOf(err, heard)}
}

// ends are the errors of a connection that is over.
var connectionErrors = []error{io.EOF, io.ErrUnexpectedEOF, net.ErrClosed, context.Canceled, syscall.ECONNRESET, syscall.EPIPE, syscall.ECONNABORTED}

// kindOf tells what an error of a connection or of what was read says of a send.
func kindOf(err error, heard bool) flow.Failure {
	var named *failure
	if errors.As(err, &named) {
		return named.kind
	}
	var network net.Error
	if errors.As(err, &network) && network.Timeout() {
		return flow.TimedOut
	}
	for _, end := range connectionErrors {
		if !errors.Is(err, end) {
			continue
		}
		if heard {
			return flow.Incomplete
		}
		return flow.Reset
	}
	return flow.Malformed
}
