package ccentry

import (
	"net/http"

	"camphorcroft/core/ccjob"
)

// statusOf returns the HTTP status code of an outcome.
func statusOf(outcome *ccjob.Outcome) int {
	if outcome.State == ccjob.StateComplete {
		return http.StatusOK
	}
	switch outcome.Kind {
	case ccjob.KindInvalid:
		return http.StatusBadRequest
	case ccjob.KindUnknownService, ccjob.KindNotFound:
		return http.StatusNotFound
	case ccjob.KindConflict, ccjob.KindCanceled:
		return http.StatusConflict
	case ccjob.KindTooLarge:
		return http.StatusRequestEntityTooLarge
	case ccjob.KindQuota, ccjob.KindOverload:
		return http.StatusTooManyRequests
	case ccjob.KindTaskFailed, ccjob.KindLost:
		return http.StatusBadGateway
	case ccjob.KindDeadline:
		return http.StatusGatewayTimeout
	default:
		return http.StatusServiceUnavailable
	}
}
