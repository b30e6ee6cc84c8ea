package relay

import (
	"net/http"
	"time"

	"github.com/pomelospring/pomelospring"
	"github.com/pomelospring/pomelospring/coordination/coordinationpb"
)

func headerToProto(header http.Header) (list []*coordinationpb.RelayHeader) {
	for name, values := range header {
		list = append(list, &coordinationpb.RelayHeader{
			Name:   name,
			Values: values,
		})
	}
	return list
}

func headerFromProto(list []*coordinationpb.RelayHeader) http.Header {
	header := make(http.Header, len(list))
	for _, field := range list {
		header[field.Name] = field.Values
	}
	return header
}

func callToProto(call *pomelospring.Call, dispatch pomelospring.Dispatch, now time.Time) *coordinationpb.RelayCall {
	return &coordinationpb.RelayCall{
		Id:                    call.ID,
		Method:                call.Method,
		Target:                call.Target,
		Host:                  call.Host,
		Header:                headerToProto(call.Header),
		Team:                  dispatch.Team,
		Priority:              int32(dispatch.Priority),
		AdapterVersion:        dispatch.AdapterVersion,
		ResumeAfter:           dispatch.ResumeAfter,
		RemainingMilliseconds: dispatch.Deadline.Sub(now).Milliseconds(),
		FreshConnection:       dispatch.FreshConnection,
		Length:                int64(len(call.Body)),
	}
}

func callFromProto(sent *coordinationpb.RelayCall, body []byte, server pomelospring.FleetServer, now time.Time) (call *pomelospring.Call, dispatch pomelospring.Dispatch) {
	call = &pomelospring.Call{
		ID:     sent.Id,
		Method: sent.Method,
		Target: sent.Target,
		Host:   sent.Host,
		Header: headerFromProto(sent.Header),
		Body:   body,
	}
	return call, pomelospring.Dispatch{
		Server:          server,
		Team:            sent.Team,
		Priority:        int(sent.Priority),
		AdapterVersion:  sent.AdapterVersion,
		ResumeAfter:     sent.ResumeAfter,
		Deadline:        now.Add(time.Duration(sent.RemainingMilliseconds) * time.Millisecond),
		FreshConnection: sent.FreshConnection,
	}
}

func noticeToProto(notice pomelospring.ServerNotice, now time.Time) *coordinationpb.RelayNotice {
	sent := &coordinationpb.RelayNotice{
		Leaving:           notice.Leaving,
		RequestsPerSecond: notice.RequestsPerSecond,
		LimitEnded:        notice.LimitEnded,

		Brittle:             notice.Brittle,
		RejectionsPerSecond: notice.RejectionsPerSecond,
		BrittleEnded:        notice.BrittleEnded,
	}
	if notice.PausedUntil.After(now) {
		sent.PauseMilliseconds = max(1, notice.PausedUntil.Sub(now).Milliseconds())
	}
	if notice.ColdUntil.After(now) {
		sent.ColdMilliseconds = max(1, notice.ColdUntil.Sub(now).Milliseconds())
	}
	return sent
}

func noticeFromProto(sent *coordinationpb.RelayNotice, now time.Time) (notice pomelospring.ServerNotice) {
	if sent == nil {
		return notice
	}
	notice = pomelospring.ServerNotice{
		Leaving:           sent.Leaving,
		RequestsPerSecond: sent.RequestsPerSecond,
		LimitEnded:        sent.LimitEnded,

		Brittle:             sent.Brittle,
		RejectionsPerSecond: sent.RejectionsPerSecond,
		BrittleEnded:        sent.BrittleEnded,
	}
	if sent.PauseMilliseconds > 0 {
		notice.PausedUntil = now.Add(time.Duration(sent.PauseMilliseconds) * time.Millisecond)
	}
	if sent.ColdMilliseconds > 0 {
		notice.ColdUntil = now.Add(time.Duration(sent.ColdMilliseconds) * time.Millisecond)
	}
	return notice
}

func headToProto(answer *pomelospring.BackendAnswer, now time.Time) *coordinationpb.RelayHead {
	return &coordinationpb.RelayHead{
		Status:             int32(answer.Status),
		Header:             headerToProto(answer.Header),
		NotRun:             answer.NotRun,
		Misdirected:        answer.Misdirected,
		Signed:             answer.Signed,
		Length:             answer.Length,
		EndsWithConnection: answer.EndsWithConnection,
		Notice:             noticeToProto(answer.Notice, now),
	}
}

func headFromProto(head *coordinationpb.RelayHead, now time.Time) *pomelospring.BackendAnswer {
	return &pomelospring.BackendAnswer{
		Status:             int(head.Status),
		Header:             headerFromProto(head.Header),
		NotRun:             head.NotRun,
		Misdirected:        head.Misdirected,
		Signed:             head.Signed,
		Length:             head.Length,
		EndsWithConnection: head.EndsWithConnection,
		Notice:             noticeFromProto(head.Notice, now),
	}
}
