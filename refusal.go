package pomelospring

import (
	"errors"
	"fmt"
	"time"
)

// Outcome says what became of a request that got no ordinary answer.
type Outcome string

// The outcomes of a refused or failed request.
const (
	// NotRun: no backend server was given any part of the request.
	NotRun Outcome = "notRun"
	// OutcomeUnknown: a backend server may have run it.
	OutcomeUnknown Outcome = "outcomeUnknown"
)

// Code names a kind of refusal.
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

// Refusal is the typed error that reaches a caller.
type Refusal struct {
	Code    Code
	Outcome Outcome
	Message string
	// RetryAt is when asking again makes sense; zero when it never does.
	RetryAt time.Time
}

// Error implements error.
func (r *Refusal) Error() string {
	return fmt.Sprintf("%s (%s): %s", r.Code, r.Outcome, r.Message)
}

// NewRefusal makes a refusal of a request that was not run.
func NewRefusal(code Code, retryAt time.Time, format string, args ...any) *Refusal {
	return &Refusal{
		Code:    code,
		Outcome: NotRun,
		Message: fmt.Sprintf(format, args...),
		RetryAt: retryAt,
	}
}

// NewUnknown makes an answer for a request that a backend server may have run.
func NewUnknown(code Code, format string, args ...any) *Refusal {
	return &Refusal{
		Code:    code,
		Outcome: OutcomeUnknown,
		Message: fmt.Sprintf(format, args...),
	}
}

// AsRefusal finds the refusal in err; any other error is an unknown outcome.
func AsRefusal(err error) *Refusal {
	var refusal *Refusal
	if errors.As(err, &refusal) {
		return refusal
	}
	return NewUnknown(CodeInternal, "%v", err)
}
