package coordination

import (
	"time"

	"github.com/pomelospring/pomelospring/coordination/coordinationpb"
	"github.com/pomelospring/pomelospring/fleet"
)

func limitsToProto(limits []fleet.ServerLimit, now time.Time) (list []*coordinationpb.ServerLimit) {
	for _, limit := range limits {
		list = append(list, &coordinationpb.ServerLimit{
			Server:          limit.Server,
			Started:         limit.Started.UnixMilli(),
			PerSecond:       limit.PerSecond,
			AgeMilliseconds: now.Sub(limit.At).Milliseconds(),
		})
	}
	return list
}

func limitsFromProto(list []*coordinationpb.ServerLimit, now time.Time) (limits []fleet.ServerLimit) {
	for _, entry := range list {
		limits = append(limits, fleet.ServerLimit{
			Server:    entry.Server,
			Started:   time.UnixMilli(entry.Started),
			PerSecond: entry.PerSecond,
			At:        now.Add(-time.Duration(entry.AgeMilliseconds) * time.Millisecond),
		})
	}
	return limits
}
