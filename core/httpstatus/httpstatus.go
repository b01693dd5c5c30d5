// Package httpstatus gives the HTTP statuses by which callers, trainers and
// operators hear what a command or a question to the store came to.
package httpstatus

import (
	"net/http"

	"fernlink/core/ledger"
)

var statuses = map[ledger.Outcome]int{
	ledger.Unanswered:  http.StatusServiceUnavailable,
	ledger.Accepted:    http.StatusOK,
	ledger.Invalid:     http.StatusBadRequest,
	ledger.NotFound:    http.StatusNotFound,
	ledger.Conflict:    http.StatusConflict,
	ledger.Retired:     http.StatusGone,
	ledger.Oversized:   http.StatusRequestEntityTooLarge,
	ledger.Rejected:    http.StatusUnprocessableEntity,
	ledger.Full:        http.StatusTooManyRequests,
	ledger.Failed:      http.StatusInternalServerError,
	ledger.Unavailable: http.StatusServiceUnavailable,
}

// Of gives an outcome's status. One that this build does not know is the store's
// fault.
func Of(outcome ledger.Outcome) int {
	if status, known := statuses[outcome]; known {
		return status
	}
	return http.StatusInternalServerError
}
