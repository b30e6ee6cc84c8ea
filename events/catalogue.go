// Package events numbers every line that the system logs. Numbers are never
// reused. docs/EVENTS.md is made from this catalogue.
package events

import (
	"github.com/apex/log"
)

// Event is one kind of log line.
type Event struct {
	Number int
	Name   string
	Level  log.Level
	// Meaning says what happened and what an operator may do.
	Meaning string
}

// The events, by number: 1xx process, 2xx requests, 3xx placement, 4xx log and
// membership, 5xx budget, 6xx configuration and operators.
var (
	Started           = define(100, "started", log.InfoLevel, "The daemon listens and has a state to serve from.")
	Stopping          = define(101, "stopping", log.InfoLevel, "A planned stop began: new requests are refused, running ones are finished.")
	Stopped           = define(102, "stopped", log.InfoLevel, "The daemon has drained and ends.")
	PartFailed        = define(103, "partFailed", log.ErrorLevel, "A part of the daemon ended with an error; the daemon stops.")
	CertificateFailed = define(104, "certificateReloadFailed", log.ErrorLevel, "A changed certificate could not be read; the former one stays in use.")

	RequestRouted   = define(200, "requestRouted", log.InfoLevel, "A request was sent to the owner of a backend server; the fields give the reason and the runner-up.")
	RequestRefused  = define(201, "requestRefused", log.InfoLevel, "A request was refused; the fields give code, outcome and when to come back.")
	RequestRetried  = define(202, "requestRetried", log.WarnLevel, "An attempt failed before any answer was passed on and is tried elsewhere.")
	RequestServed   = define(203, "requestServed", log.InfoLevel, "A request was answered whole.")
	RequestBroken   = define(204, "requestBroken", log.WarnLevel, "An answer broke off after a part of it was passed on; the caller was told.")
	RequestCut      = define(205, "requestCut", log.InfoLevel, "A running request was ended because its key was withdrawn.")
	ServiceRouted   = define(206, "serviceRouted", log.InfoLevel, "A call was sent to an application worker.")
	OutcomeUnknown  = define(207, "outcomeUnknown", log.WarnLevel, "A call that may not be repeated may have run; the caller was told that the outcome is unknown.")
	RequestDispatch = define(208, "requestDispatched", log.InfoLevel, "The owner sent a request to a model worker.")
	IntentUnsettled = define(209, "intentUnsettled", log.WarnLevel, "The outcome of a call with an idempotency key could not be entered; repeats are told that it is unknown.")

	AdapterLoading   = define(300, "adapterLoading", log.InfoLevel, "An adapter is loaded onto a model worker; the fields give the reason and what is evicted.")
	AdapterLoaded    = define(301, "adapterLoaded", log.InfoLevel, "A load succeeded.")
	AdapterFailed    = define(302, "adapterLoadFailed", log.WarnLevel, "A load failed; it is tried again after a pause, elsewhere if possible.")
	ServerGained     = define(303, "serverGained", log.InfoLevel, "This instance owns a backend server from now on.")
	ServerLost       = define(304, "serverLost", log.InfoLevel, "Another instance owns a backend server from now on.")
	ServerSilent     = define(305, "serverSilent", log.WarnLevel, "A backend server gave no load report.")
	ServerBroken     = define(306, "serverBroken", log.WarnLevel, "A backend server failed requests and gets none for a while.")
	HandoverReceived = define(307, "handoverReceived", log.InfoLevel, "The former owner of a backend server said what still runs there.")
	HandoverFailed   = define(308, "handoverFailed", log.WarnLevel, "The new owner could not be told; it waits out the lease instead.")
	OrderFenced      = define(309, "orderFenced", log.WarnLevel, "A backend server refused an order with an old fencing number.")

	LogUnreachable  = define(400, "logUnreachable", log.WarnLevel, "The log could not be read; peers are asked instead.")
	RenewalFailed   = define(401, "renewalFailed", log.WarnLevel, "The membership lease could not be renewed.")
	LeaseLapsed     = define(402, "leaseLapsed", log.WarnLevel, "The membership lease lapsed; orders to model workers depend on what peers say.")
	SnapshotPosted  = define(403, "snapshotPosted", log.InfoLevel, "A state was appended to its stream, before retention takes the records that it rests on.")
	SnapshotFailed  = define(404, "snapshotFailed", log.WarnLevel, "A state could not be appended; it is tried again.")
	ListUnreachable = define(405, "instanceListUnreachable", log.WarnLevel, "The platform's instance list could not be reached; what is known stays in use.")
	PeerUnreachable = define(406, "peerUnreachable", log.InfoLevel, "Another instance could not be reached.")

	DomainClaimFailed = define(500, "domainClaimFailed", log.WarnLevel, "The failure domain's claim on the budget could not be renewed.")
	TokensBorrowed    = define(501, "tokensBorrowed", log.DebugLevel, "Tokens were lent by another instance.")

	ConfigurationInForce = define(600, "configurationInForce", log.InfoLevel, "A newer configuration is in force here.")
	ChangeAccepted       = define(601, "changeAccepted", log.InfoLevel, "An operator's change was accepted.")
	ChangeRefused        = define(602, "changeRefused", log.InfoLevel, "An operator's change lost or was bad.")
	KeysUnverifiable     = define(603, "keysUnverifiable", log.ErrorLevel, "Nothing was heard of the configuration for too long; keys are no longer accepted.")
)

var catalogue []Event

func define(number int, name string, level log.Level, meaning string) Event {
	event := Event{
		Number:  number,
		Name:    name,
		Level:   level,
		Meaning: meaning,
	}
	catalogue = append(catalogue, event)
	return event
}

// Catalogue returns every event, by number.
func Catalogue() []Event {
	return append([]Event{}, catalogue...)
}

// Log writes one line.
func Log(logger log.Interface, event Event, fields log.Fields) {
	entry := logger.WithFields(fields).WithField("event", event.Number)
	switch event.Level {
	case log.DebugLevel:
		entry.Debug(event.Name)
	case log.WarnLevel:
		entry.Warn(event.Name)
	case log.ErrorLevel:
		entry.Error(event.Name)
	default:
		entry.Info(event.Name)
	}
}
