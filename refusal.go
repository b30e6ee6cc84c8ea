package pomelospring

import (
	"errors"
	"fmt"
	"time"
)

// Outcome tells the caller whether a refused or failed request may have run.
type Outcome string

// The outcomes of a refused or failed request.
const (
	// NotRun means that no backend server ran any part of the request.
	NotRun Outcome = "notRun"
	// OutcomeUnknown means that a backend server may have run the request.
	OutcomeUnknown Outcome = "outcomeUnknown"
)

// Code identifies the reason of a refusal.
type Code string

// The codes of refusals.
const (
	CodeBadRequest         Code = "badRequest"
	CodeBodyTooLarge       Code = "bodyTooLarge"
	CodeKeyMissing         Code = "keyMissing"
	CodeKeyUnknown         Code = "keyUnknown"
	CodeKeyWithdrawn       Code = "keyWithdrawn"
	CodeKeysUnverifiable   Code = "keysUnverifiable"
	CodeNotFound           Code = "notFound"
	CodeAdapterUnknown     Code = "adapterUnknown"
	CodeAdapterNotAllowed  Code = "adapterNotAllowed"
	CodeOverRate           Code = "overRate"
	CodeBudgetFilling      Code = "budgetFilling"
	CodeLargerThanBurst    Code = "largerThanBurst"
	CodeOverloaded         Code = "overloaded"
	CodeNoBackendServer    Code = "noBackendServer"
	CodePartBlocked        Code = "partBlocked"
	CodeRequestBlocked     Code = "requestBlocked"
	CodeOriginUnknown      Code = "originUnknown"
	CodeOriginGone         Code = "originGone"
	CodeBackendServerError Code = "backendServerError"
	CodeLoadFailed         Code = "loadFailed"
	CodeStopping           Code = "stopping"
	CodeIntentsUnavailable Code = "intentsUnavailable"
	CodeIntentOpen         Code = "intentOpen"
	CodeIntentExpired      Code = "intentExpired"
	CodeIntentMismatch     Code = "intentMismatch"
	CodeCallerGone         Code = "callerGone"
	CodeTimeout            Code = "timeout"
	CodeNotReady           Code = "notReady"
	CodeInternal           Code = "internal"
)

// Refusal is the error that a caller receives in place of an answer.
type Refusal struct {
	Code    Code
	Outcome Outcome
	Message string
	// RetryAt is when a retry may succeed; zero if none ever will.
	RetryAt time.Time
}

// Error implements error.
func (r *Refusal) Error() string {
	return fmt.Sprintf("%s (%s): %s", r.Code, r.Outcome, r.Message)
}

// NewRefusal returns a refusal of a request that did not run.
func NewRefusal(code Code, retryAt time.Time, format string, args ...any) *Refusal {
	return &Refusal{
		Code:    code,
		Outcome: NotRun,
		Message: fmt.Sprintf(format, args...),
		RetryAt: retryAt,
	}
}

// NewUnknown returns a refusal of a request that a backend server may have run.
func NewUnknown(code Code, format string, args ...any) *Refusal {
	return &Refusal{
		Code:    code,
		Outcome: OutcomeUnknown,
		Message: fmt.Sprintf(format, args...),
	}
}

// AsRefusal returns the refusal in err's chain. For any other error it returns
// an internal error with an unknown outcome.
func AsRefusal(err error) *Refusal {
	var refusal *Refusal
	if errors.As(err, &refusal) {
		return refusal
	}
	return NewUnknown(CodeInternal, "%v", err)
}
