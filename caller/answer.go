package caller

import (
	"encoding/json"
	"math"
	"net/http"
	"strconv"
	"time"

	"github.com/pomelospring/pomelospring"
)

// headerRequestID is the response header with the ID that identifies the request
// in the logs.
const headerRequestID = "X-Request-Id"

// ErrorBody is the response body of a refused or failed request.
type ErrorBody struct {
	Error ErrorDetail `json:"error"`
}

// ErrorDetail has the fields of an OpenAI-compatible error, and the outcome of
// the request.
type ErrorDetail struct {
	Message string `json:"message"`
	Type    string `json:"type"`
	Code    string `json:"code"`
	// Outcome is notRun or outcomeUnknown.
	Outcome string `json:"outcome"`
	// RetryAt is the earliest useful time for a retry; it is omitted if a
	// retry would not help.
	RetryAt   string `json:"retryAt,omitempty"`
	RequestID string `json:"requestId,omitempty"`
}

// statusCodes maps refusal codes to HTTP status codes.
var statusCodes = map[pomelospring.Code]int{
	pomelospring.CodeBadRequest:         http.StatusBadRequest,
	pomelospring.CodeBodyTooLarge:       http.StatusRequestEntityTooLarge,
	pomelospring.CodeKeyMissing:         http.StatusUnauthorized,
	pomelospring.CodeKeyUnknown:         http.StatusUnauthorized,
	pomelospring.CodeKeyWithdrawn:       http.StatusUnauthorized,
	pomelospring.CodeKeysUnverifiable:   http.StatusServiceUnavailable,
	pomelospring.CodeNotFound:           http.StatusNotFound,
	pomelospring.CodeAdapterUnknown:     http.StatusNotFound,
	pomelospring.CodeAdapterNotAllowed:  http.StatusForbidden,
	pomelospring.CodeOverRate:           http.StatusTooManyRequests,
	pomelospring.CodeBudgetFilling:      http.StatusServiceUnavailable,
	pomelospring.CodeLargerThanBurst:    http.StatusBadRequest,
	pomelospring.CodeOverloaded:         http.StatusServiceUnavailable,
	pomelospring.CodeNoBackendServer:    http.StatusServiceUnavailable,
	pomelospring.CodeBackendServerError: http.StatusBadGateway,
	pomelospring.CodeLoadFailed:         http.StatusServiceUnavailable,
	pomelospring.CodeStopping:           http.StatusServiceUnavailable,
	pomelospring.CodeIntentsUnavailable: http.StatusServiceUnavailable,
	pomelospring.CodeIntentOpen:         http.StatusConflict,
	pomelospring.CodeIntentExpired:      http.StatusGone,
	pomelospring.CodeIntentMismatch:     http.StatusUnprocessableEntity,
	pomelospring.CodeCallerGone:         499,
	pomelospring.CodeTimeout:            http.StatusGatewayTimeout,
	pomelospring.CodeInternal:           http.StatusBadGateway,
}

// errorTypes maps HTTP status codes to the error types of the OpenAI-compatible
// API.
var errorTypes = map[int]string{
	http.StatusBadRequest:            "invalid_request_error",
	http.StatusRequestEntityTooLarge: "invalid_request_error",
	http.StatusUnprocessableEntity:   "invalid_request_error",
	http.StatusNotFound:              "invalid_request_error",
	http.StatusUnauthorized:          "authentication_error",
	http.StatusForbidden:             "permission_error",
	http.StatusTooManyRequests:       "rate_limit_error",
}

// errorBody converts a refusal to a response body.
func errorBody(requestID string, refusal *pomelospring.Refusal) ErrorBody {
	errorType, known := errorTypes[statusCodes[refusal.Code]]
	if !known {
		errorType = "server_error"
	}
	detail := ErrorDetail{
		Message:   refusal.Message,
		Type:      errorType,
		Code:      string(refusal.Code),
		Outcome:   string(refusal.Outcome),
		RequestID: requestID,
	}
	if !refusal.RetryAt.IsZero() {
		detail.RetryAt = refusal.RetryAt.UTC().Format(time.RFC3339Nano)
	}
	return ErrorBody{
		Error: detail,
	}
}

// writeRefusal writes a refusal as a JSON response, with Retry-After if a retry
// can help.
func writeRefusal(w http.ResponseWriter, requestID string, refusal *pomelospring.Refusal, now time.Time) {
	if requestID != "" {
		w.Header().Set(headerRequestID, requestID)
	}
	if !refusal.RetryAt.IsZero() {
		seconds := math.Ceil(refusal.RetryAt.Sub(now).Seconds())
		w.Header().Set("Retry-After", strconv.Itoa(int(max(1, seconds))))
	}
	status, known := statusCodes[refusal.Code]
	if !known {
		status = http.StatusInternalServerError
	}
	writeJSON(w, status, errorBody(requestID, refusal))
}

func writeJSON(w http.ResponseWriter, status int, body any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(body)
}
