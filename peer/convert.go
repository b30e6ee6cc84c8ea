package peer

import (
	"time"

	"github.com/pomelospring/pomelospring"
	"github.com/pomelospring/pomelospring/peer/peerpb"
	"github.com/pomelospring/pomelospring/routing"
)

// FromRefusal gives a refusal's form on the wire.
func FromRefusal(refusal *pomelospring.Refusal, server string) *peerpb.Refusal {
	return &peerpb.Refusal{
		Code:    string(refusal.Code),
		Outcome: string(refusal.Outcome),
		Message: refusal.Message,
		RetryAt: nanos(refusal.RetryAt),
		Server:  server,
	}
}

// ToRefusal reads a refusal from its form on the wire.
func ToRefusal(refusal *peerpb.Refusal) *pomelospring.Refusal {
	return &pomelospring.Refusal{
		Code:    pomelospring.Code(refusal.GetCode()),
		Outcome: pomelospring.Outcome(refusal.GetOutcome()),
		Message: refusal.GetMessage(),
		RetryAt: moment(refusal.GetRetryAt()),
	}
}

// FromEntry gives a directory entry's form on the wire.
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

// ToEntry reads a directory entry from its form on the wire.
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

func nanos(t time.Time) int64 {
	if t.IsZero() {
		return 0
	}
	return t.UnixNano()
}

func moment(n int64) time.Time {
	if n == 0 {
		return time.Time{}
	}
	return time.Unix(0, n)
}
