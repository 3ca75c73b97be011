package entry

import (
	"net/http"

	"foxtailmux/model"
)

// statusByKind maps the kinds of failures to HTTP statuses; others get 500.
var statusByKind = map[model.FailureKind]int{
	model.FailBadRequest:   http.StatusBadRequest,
	model.FailUnauthorized: http.StatusUnauthorized,
	model.FailUnknownID:    http.StatusNotFound,
	model.FailCancelled:    http.StatusConflict,
	model.FailKeyConflict:  http.StatusConflict,
	model.FailKeyUsed:      http.StatusConflict,
	model.FailTooLarge:     http.StatusRequestEntityTooLarge,
	model.FailNeverFits:    http.StatusUnprocessableEntity,
	model.FailQuota:        http.StatusTooManyRequests,
	model.FailOverloaded:   http.StatusServiceUnavailable,
	model.FailStopping:     http.StatusServiceUnavailable,
	model.FailNotReady:     http.StatusServiceUnavailable,
	model.FailStoreDown:    http.StatusServiceUnavailable,
	model.FailNoWorker:     http.StatusServiceUnavailable,
	model.FailWorkerError:  http.StatusBadGateway,
	model.FailWorkerLost:   http.StatusBadGateway,
	model.FailIssuerLost:   http.StatusBadGateway,
	model.FailDeadline:     http.StatusGatewayTimeout,
}

// StatusOf returns the HTTP status of an answer. If the deadline passed before
// anything ran, it is 503 instead of 504, since a retry is safe.
func StatusOf(a model.Answer) int {
	if a.Result == model.Complete {
		return http.StatusOK
	}
	if a.Error.Kind == model.FailDeadline && a.Ran == model.RanNo {
		return http.StatusServiceUnavailable
	}
	if status, ok := statusByKind[a.Error.Kind]; ok {
		return status
	}
	return http.StatusInternalServerError
}
