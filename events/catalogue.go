// Package events is the catalogue of the events that the system logs. Each has a
// number, which is never reused. docs/EVENTS.md is generated from the catalogue.
package events

import (
	"github.com/apex/log"
)

// Event is a kind of log line.
type Event struct {
	Number int
	Name   string
	Level  log.Level
	// Meaning says what happened and what an operator may do.
	Meaning string
}

// The events. The first digit groups them: 1xx process, 2xx requests, 3xx backend
// servers and placement, 4xx log, membership and leadership, 5xx budget, 6xx
// configuration and operators.
var (
	Started           = define(100, "started", log.InfoLevel, "The daemon listens and has state to serve from.")
	Stopping          = define(101, "stopping", log.InfoLevel, "A planned stop began: new requests are refused, running ones are finished.")
	Stopped           = define(102, "stopped", log.InfoLevel, "The daemon has drained and exits.")
	PartFailed        = define(103, "partFailed", log.ErrorLevel, "A component of the daemon ended with an error; the daemon stops.")
	CertificateFailed = define(104, "certificateReloadFailed", log.ErrorLevel, "A changed certificate could not be read; the previous one stays in use.")

	LinesDropped = define(105, "logLinesDropped", log.WarnLevel, "Log lines were dropped because standard output was blocked or broken; the fields count them.")
	CallPanicked = define(106, "callPanicked", log.ErrorLevel, "A fault in the code ended a call: its connection was closed; the fields give the panic and where it happened.")
	ServerFailed = define(107, "listenerError", log.WarnLevel, "An HTTP listener reported an error, such as a connection that could not be accepted; the field gives its text.")

	RequestRouted   = define(200, "requestRouted", log.InfoLevel, "A request was sent to the owner of a backend server; the fields give the reason and the runner-up.")
	RequestRefused  = define(201, "requestRefused", log.InfoLevel, "A request was refused; the fields give code, outcome and when to retry.")
	RequestRetried  = define(202, "requestRetried", log.WarnLevel, "An attempt failed before any part of an answer was forwarded; the request is retried elsewhere.")
	RequestServed   = define(203, "requestServed", log.InfoLevel, "A request was answered completely.")
	RequestBroken   = define(204, "requestBroken", log.WarnLevel, "An answer broke off after a part of it was forwarded; the caller got an error event.")
	RequestCut      = define(205, "requestCut", log.InfoLevel, "A running request was cancelled because its key was withdrawn.")
	ServiceRouted   = define(206, "serviceRouted", log.InfoLevel, "A call was sent to an application worker.")
	OutcomeUnknown  = define(207, "outcomeUnknown", log.WarnLevel, "A call that must not be repeated may have run; the answer to the caller says that its outcome is unknown.")
	RequestDispatch = define(208, "requestDispatched", log.InfoLevel, "The owner sent a request to a model worker.")
	IntentUnsettled = define(209, "intentUnsettled", log.WarnLevel, "The outcome of a call with an idempotency key could not be recorded; repeats are answered that it is unknown.")

	CallRouted     = define(220, "callRouted", log.InfoLevel, "A call was sent to a backend server; the fields give the estimated wait, the candidates and the age of the configuration.")
	CallRefused    = define(221, "callRefused", log.InfoLevel, "A call was refused; the fields give code, outcome and when to retry.")
	CallRetried    = define(222, "callRetried", log.WarnLevel, "An attempt of a call failed; the fields say whether it is retried at another backend server.")
	CallServed     = define(223, "callServed", log.InfoLevel, "A backend server's answer was forwarded completely.")
	CallBroken     = define(224, "callBroken", log.WarnLevel, "An answer broke off after a part of it was forwarded; the connection to the caller was closed.")
	CallerLeft     = define(225, "callerLeft", log.InfoLevel, "The caller closed its connection before the answer was complete; the call was cancelled.")
	StreamResumed  = define(226, "streamResumed", log.WarnLevel, "A stream was resumed at another model worker after the last event that was forwarded.")
	TakeoverFailed = define(227, "takeoverFailed", log.InfoLevel, "Another backend server did not go on with the call of a silent one, for the reason given; the call waits on.")
	ServerEnded    = define(228, "serverEnded", log.WarnLevel, "A backend server ended under calls that it had not answered or had only begun to answer; the fields give the shared prompt parts of these, and a hash of each one's caller, target and body.")
	PartsBlocked   = define(229, "partsBlocked", log.WarnLevel, "Calls with all of these prompt parts, or this content (a hash of caller, target and body), are kept from backend servers, because servers end under them; the fields give the number of ended servers and the teams, none for all. No parts: no call is.")
	PartsTried     = define(230, "partsTried", log.WarnLevel, "A blocked call was let through, to see whether backend servers still end under it.")

	OriginsNotKept   = define(235, "originsNotKept", log.WarnLevel, "At which software version streams began could not be read or written; this is tried again, and logged once until it succeeds, or with the call that asked.")
	SoftwareVersions = define(236, "softwareVersions", log.InfoLevel, "The leader of a failure domain recorded the software versions of a service's servers, those that left lately included; while there are several, the starts of streams are recorded.")

	OriginSought = define(237, "originSought", log.InfoLevel, "A call goes on with a stream that another call began; the fields say where the start of the stream was found (here, an instance that keeps it, store, onlyVersion, nowhere, or that nobody answered), how many starts were read for it, and how long that took.")

	StartsNotTold = define(238, "startsNotTold", log.WarnLevel, "Leaders that keep the starts of streams could not be told of some; these are in the store only.")

	BlockLifted = define(231, "blockLifted", log.WarnLevel, "An operator lifted a block; the fields give its parts. It comes back after further ends of servers.")

	BlocksRead    = define(232, "blocksRead", log.InfoLevel, "The leader of a failure domain read the blocks that the fleet had recorded in the store; the field gives their number. They hold until they expire.")
	BlockRecorded = define(233, "blockRecorded", log.InfoLevel, "The leader of a failure domain recorded a block in the store, so that it outlasts a start of all instances; no servers: the record was removed.")
	BlocksNotKept = define(234, "blocksNotKept", log.WarnLevel, "The records of the blocks could not be read or written; this is tried again each second, and logged once until it succeeds.")

	AdapterLoading   = define(300, "adapterLoading", log.InfoLevel, "An adapter is loaded onto a model worker; the fields give the reason and what is evicted.")
	AdapterLoaded    = define(301, "adapterLoaded", log.InfoLevel, "A load succeeded.")
	AdapterFailed    = define(302, "adapterLoadFailed", log.WarnLevel, "A load failed; it is retried after a backoff, at another model worker if possible.")
	ServerGained     = define(303, "serverGained", log.InfoLevel, "This instance owns a backend server from now on.")
	ServerLost       = define(304, "serverLost", log.InfoLevel, "Another instance owns a backend server from now on.")
	ServerSilent     = define(305, "serverSilent", log.WarnLevel, "The load report of a backend server could not be fetched.")
	ServerBroken     = define(306, "serverBroken", log.WarnLevel, "A backend server failed requests and gets no new ones for a while.")
	HandoverReceived = define(307, "handoverReceived", log.InfoLevel, "The former owner of a backend server reported which requests still run there.")
	HandoverFailed   = define(308, "handoverFailed", log.WarnLevel, "A handover to the new owner of a backend server failed; the new owner waits until the former lease expires.")
	OrderFenced      = define(309, "orderFenced", log.WarnLevel, "A backend server refused an order with an old fencing number.")

	OrderGiven        = define(320, "orderGiven", log.InfoLevel, "A model worker was ordered to load or unload; the fields give the sequence, the fencing number and the answer.")
	PlacementAnswered = define(321, "wishAnswered", log.InfoLevel, "The leader answered a placement request for an adapter; the fields give the model worker or the reason for none.")
	PlacementFailed   = define(322, "wishFailed", log.WarnLevel, "A placement request for an adapter got no answer from the leader.")
	ReportFailed      = define(323, "reportFailed", log.WarnLevel, "A model worker did not report its state.")
	LoadTimeLearned   = define(363, "loadTimeLearned", log.InfoLevel, "Loads from the weight store take longer than the leader of a failure domain expected, with few in flight; expectedMs is what it expects now.")
	ServersListed     = define(324, "serversListed", log.InfoLevel, "The list of backend servers changed: one was added, removed or set to drain.")
	ServerQuiet       = define(340, "serverQuiet", log.InfoLevel, "A backend server left a call unanswered for too long and answered no other meanwhile; it gets single calls until it answers.")
	ServerAnswered    = define(341, "serverAnswered", log.InfoLevel, "A backend server that counted as silent answers again.")
	PathBroken        = define(342, "pathBroken", log.WarnLevel, "This instance can't connect to a backend server; the path counts as broken until probes have succeeded for some time.")
	PathWhole         = define(343, "pathWhole", log.InfoLevel, "This instance connects to a backend server again; brokenMs tells for how long it could not.")
	CallSentThrough   = define(344, "callSentThrough", log.InfoLevel, "A call was sent to a backend server through another instance, as this one can't connect to the server; with an error, sent says whether the call may have reached the server.")
	RelayRefused      = define(345, "relayRefused", log.InfoLevel, "This instance did not send a call for another one; nothing reached the backend server.")
	DomainEvacuated   = define(350, "domainEvacuated", log.WarnLevel, "Operators evacuated a failure domain: its backend servers get nothing until it is taken back.")
	DomainReturned    = define(351, "domainReturned", log.InfoLevel, "Operators took an evacuated failure domain back.")
	CallOutsideHomes  = define(353, "callOutsideHomes", log.WarnLevel, "A call was refused because no failure domain of the fleet lies in the regions that its route and team both allow.")
	HomesUnknown      = define(354, "homesUnknown", log.WarnLevel, "The configuration names homes that are no region of the settings; empty ones are ignored, to the others no call is sent.")
	EvacuationIgnored = define(352, "evacuationIgnored", log.WarnLevel, "An operators' record evacuates a failure domain that the settings don't list.")
	TokensDivided     = define(360, "tokensDivided", log.InfoLevel, "A leader was asked for tokens of a team, as they are more than this instance may give out by itself, and did not answer; this instance's part of them decides.")
	ServerPaceChanged = define(368, "serverPaceChanged", log.InfoLevel, "The time that work takes on a backend server, relative to usual (1), changed by 1.3 times or more; of its domain's leader, every 2 s at most for a server.")
	ServerRoomChanged = define(369, "serverRoomChanged", log.InfoLevel, "The number of calls that a backend server takes without becoming late, as this instance learned it, changed by 1.5 times or more; every 5 s at most for a server.")
	ServerMalformed   = define(325, "serverSpoiled", log.WarnLevel, "An entry of the list of backend servers is malformed and is not used.")

	ServerLeaving = define(330, "serverLeaving", log.InfoLevel, "A backend server announced that it leaves, while the server list has it as ready; it gets no new work until it is started anew.")
	ServerPaused  = define(331, "serverPaused", log.InfoLevel, "A backend server rejected a request and asked for a pause; this instance sends nothing to it until resumeMs have passed.")
	ServerLimited = define(332, "serverLimited", log.InfoLevel, "A backend server named how many requests a second it takes from all instances together, or another number than before; perSecond 0: it names none any longer.")
	LimitDivided  = define(333, "limitDivided", log.InfoLevel, "The leader that shares out a backend server's limit did not answer a reservation; this instance keeps to its part of the limit.")

	ServerCold         = define(355, "serverCold", log.InfoLevel, "A backend server is cold until the time given: all instances together send it at most perSecond requests a second.")
	ServerWarm         = define(356, "serverWarm", log.InfoLevel, "A backend server is no longer cold.")
	PolicyPartsIgnored = define(357, "policyPartsIgnored", log.WarnLevel, "Parts of the operators' configuration are malformed and count as not said; the rest is in effect.")

	ServerBrittle  = define(380, "serverBrittle", log.InfoLevel, "A backend server said that it falls over when it turns more than perSecond requests away within a second, or another number than before; brittle false: it says so no longer. Calls to it need permits of the leader.")
	RoomChanged    = define(381, "roomChanged", log.InfoLevel, "The leader lets another number of calls be under way at a brittle backend server.")
	PermitsDivided = define(382, "permitsDivided", log.InfoLevel, "The leader that gives out the permits of brittle backend servers did not answer; this instance keeps to its part of their room.")

	DomainCutOff  = define(427, "domainCutOff", log.WarnLevel, "Connections to two backend servers of a failure domain timed out, or to one and its leader did not answer either; calls go to other failure domains.")
	DomainReached = define(428, "domainReached", log.InfoLevel, "A failure domain that seemed to be cut off is reachable again.")

	LogUnreachable  = define(400, "logUnreachable", log.WarnLevel, "The log could not be read; its records are read from peers instead.")
	RenewalFailed   = define(401, "renewalFailed", log.WarnLevel, "The membership lease could not be renewed.")
	LeaseLapsed     = define(402, "leaseLapsed", log.WarnLevel, "The membership lease lapsed; orders to model workers are sent only while all peers of the failure domain answer.")
	SnapshotPosted  = define(403, "snapshotPosted", log.InfoLevel, "A snapshot was appended to its stream, before retention removes the records that it replaces.")
	SnapshotFailed  = define(404, "snapshotFailed", log.WarnLevel, "A snapshot could not be appended; it is retried.")
	ListUnreachable = define(405, "instanceListUnreachable", log.WarnLevel, "The platform's instance list could not be reached; the last known list stays in use.")
	PeerUnreachable = define(406, "peerUnreachable", log.InfoLevel, "Another instance could not be reached.")

	StoreLost           = define(420, "storeLost", log.WarnLevel, "The platform's store did not answer or refused; the last data read stays in use.")
	StoreRegained       = define(421, "storeRegained", log.InfoLevel, "The platform's store answers again; the fields give the length of the outage.")
	LeaderFound         = define(422, "leaderFound", log.InfoLevel, "An instance was found to lead a failure domain: it sends the orders to its model workers.")
	LeaderLost          = define(423, "leaderLost", log.WarnLevel, "The leader of a failure domain does not answer or is no longer its leader.")
	LeadershipTaken     = define(424, "leadershipTaken", log.InfoLevel, "This instance became the leader and sends the orders to model workers; the fields give the fencing number.")
	LeadershipLost      = define(425, "leadershipLost", log.WarnLevel, "This instance is no longer the leader and sends no more orders to model workers.")
	OperatorRecordsKept = define(430, "operatorRecordsKept", log.WarnLevel, "The store was restored from a copy; the fields give the eras and the operators' records that are kept because the copy lacks them or has older versions.")
	ServersKept         = define(431, "serversKept", log.WarnLevel, "The store was restored from a copy; the fields give the eras, the servers that stay listed for a while although the copy lacks them, and those that the copy lists although they had left.")
	StoreRestored       = define(432, "storeRestored", log.WarnLevel, "The store's era rose: it was restored from a copy. Offsets start again, and memberships of earlier eras end at their deadlines.")
	RecordFetched       = define(433, "recordFetched", log.InfoLevel, "A large record of the platform's operators was fetched from another instance; the fields give its length and how much of it was sent.")
	RecordFetchFailed   = define(434, "recordFetchFailed", log.InfoLevel, "A large record could not be fetched from an instance that has it; the parts that arrived are kept.")
	RenewalMissed       = define(426, "leadershipRenewalFailed", log.WarnLevel, "The leadership lease could not be renewed; it holds until its deadline.")

	DomainClaimFailed = define(500, "domainClaimFailed", log.WarnLevel, "The failure domain's claim on the budget could not be renewed.")
	TokensBorrowed    = define(501, "tokensBorrowed", log.DebugLevel, "Tokens were lent by another instance.")

	ConfigurationInForce   = define(600, "configurationInForce", log.InfoLevel, "A newer configuration took effect at this instance.")
	ChangeAccepted         = define(601, "changeAccepted", log.InfoLevel, "An operator's change was accepted.")
	ChangeRefused          = define(602, "changeRefused", log.InfoLevel, "An operator's change was invalid or conflicted with an earlier one.")
	PolicyInForce          = define(620, "policyInForce", log.InfoLevel, "A newer configuration of the platform's operators took effect at this instance.")
	PolicyOutdated         = define(626, "policyOutdated", log.WarnLevel, "The operators' records were not confirmed for longer than the configuration may be relied on; calls with unknown keys or routes are told to retry.")
	PolicyConfirmed        = define(627, "policyConfirmed", log.InfoLevel, "The operators' records are confirmed again; the fields give for how long they were not.")
	PolicyMalformed        = define(621, "policySpoiled", log.ErrorLevel, "A record of the platform's operators is malformed; the previous one stays in effect.")
	VersionDeclared        = define(622, "versionDeclared", log.InfoLevel, "Operators declared a newer version of an adapter.")
	SettingsReloaded       = define(623, "settingsReloaded", log.InfoLevel, "The settings file was reloaded.")
	SettingsMalformed      = define(625, "settingsSpoiled", log.ErrorLevel, "The settings file could not be reloaded; the previous settings stay in effect.")
	TeamRateChanged        = define(624, "teamRateChanged", log.InfoLevel, "A team's rate or burst, in tokens, changed with the configuration.")
	CallerMemoryShort      = define(630, "callerMemoryShort", log.WarnLevel, "Callers hold the memory that is for them; requests that were still being read were refused or closed, count of them since the last line.")
	CallerConnectionsShort = define(631, "callerConnectionsShort", log.WarnLevel, "Callers hold the connections that are for them; count of them were closed for others or refused since the last line.")
	CallerHeadTooLarge     = define(632, "callerHeadTooLarge", log.WarnLevel, "Requests had heads over the configuration's limit; count of them since the last line.")
	KeysUnverifiable       = define(603, "keysUnverifiable", log.ErrorLevel, "The configuration could not be refreshed for too long; keys are no longer accepted.")
)

var catalogue []Event

// define adds an event to the catalogue.
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

// Catalogue returns every event, in the order of the definitions.
func Catalogue() []Event {
	return append([]Event{}, catalogue...)
}

// Log writes one log line with the event's number, name and level.
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
