package peer

import (
	"time"

	"github.com/pomelospring/pomelospring"
	"github.com/pomelospring/pomelospring/peer/peerpb"
	"github.com/pomelospring/pomelospring/routing"
)

// FromRefusal converts a refusal to its protobuf message; server is the backend
// server that failed, if any.
func FromRefusal(refusal *pomelospring.Refusal, server string) *peerpb.Refusal {
	return &peerpb.Refusal{
		Code:    string(refusal.Code),
		Outcome: string(refusal.Outcome),
		Message: refusal.Message,
		RetryAt: toUnixNano(refusal.RetryAt),
		Server:  server,
	}
}

// ToRefusal converts a refusal from its protobuf message.
func ToRefusal(refusal *peerpb.Refusal) *pomelospring.Refusal {
	return &pomelospring.Refusal{
		Code:    pomelospring.Code(refusal.GetCode()),
		Outcome: pomelospring.Outcome(refusal.GetOutcome()),
		Message: refusal.GetMessage(),
		RetryAt: fromUnixNano(refusal.GetRetryAt()),
	}
}

// FromEntry converts a directory entry to its protobuf message.
func FromEntry(entry routing.Entry) *peerpb.ServerSummary {
	summary := &peerpb.ServerSummary{
		Server:       entry.Server,
		Owner:        entry.Owner,
		OwnerAddress: entry.Address,
		Domain:       entry.Domain,
		Base:         entry.Base,
		Fence:        entry.Fence,
		Version:      entry.Version,
		Slots:        int32(entry.Slots),
		Running:      int32(entry.Running),
		Limit:        int32(entry.Limit),
		Waiting:      int32(entry.Waiting),
	}
	for _, adapter := range entry.Resident {
		summary.Resident = append(summary.Resident, adapter.String())
	}
	return summary
}

// ToEntry converts a directory entry from its protobuf message. It skips resident
// adapters whose names are malformed.
func ToEntry(summary *peerpb.ServerSummary) routing.Entry {
	entry := routing.Entry{
		Server:  summary.GetServer(),
		Owner:   summary.GetOwner(),
		Address: summary.GetOwnerAddress(),
		Domain:  summary.GetDomain(),
		Base:    summary.GetBase(),
		Fence:   summary.GetFence(),
		Version: summary.GetVersion(),
		Slots:   int(summary.GetSlots()),
		Running: int(summary.GetRunning()),
		Limit:   int(summary.GetLimit()),
		Waiting: int(summary.GetWaiting()),
	}
	for _, text := range summary.GetResident() {
		if adapter, err := pomelospring.ParseAdapterVersion(text); err == nil {
			entry.Resident = append(entry.Resident, adapter)
		}
	}
	return entry
}

// toUnixNano returns 0 for the zero time.
func toUnixNano(t time.Time) int64 {
	if t.IsZero() {
		return 0
	}
	return t.UnixNano()
}

// fromUnixNano returns the zero time for 0.
func fromUnixNano(n int64) time.Time {
	if n == 0 {
		return time.Time{}
	}
	return time.Unix(0, n)
}
