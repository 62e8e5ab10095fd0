package bbrpeer

import (
	"encoding/json"
	"time"

	"github.com/pkg/errors"

	"github.com/bluebellroute/bluebellroute/bbrcontrol"
	"github.com/bluebellroute/bluebellroute/bbrfailover"
	"github.com/bluebellroute/bluebellroute/bbrjournal"
	"github.com/bluebellroute/bluebellroute/bbrmember"
	"github.com/bluebellroute/bluebellroute/bbrpeer/peerpb"
	"github.com/bluebellroute/bluebellroute/bbrtype"
)

func refToProto(r bbrmember.Ref) *peerpb.MemberRef {
	return &peerpb.MemberRef{Group: string(r.Group), Member: string(r.Member)}
}

func refFromProto(r *peerpb.MemberRef) bbrmember.Ref {
	return bbrmember.Ref{Group: bbrtype.GroupName(r.GetGroup()), Member: bbrtype.MemberName(r.GetMember())}
}

// messageToProto encodes a message.
func messageToProto(m bbrcontrol.Message) (*peerpb.Message, error) {
	out := &peerpb.Message{
		From: &peerpb.Instance{
			Id: string(m.From.ID), Name: m.From.Name, Address: m.From.Address, DataCentre: string(m.From.DataCentre),
		},
		Applied: uint64(m.AppliedIndex), Joining: m.Joining, Leaving: m.Leaving, Version: m.ConfigVersion,
		WantVouch: m.GrantRequested, Vouched: m.Granted, Calm: m.ReportsOmitted, Fleet: m.FleetName,
	}
	for _, r := range m.Records {
		b, err := json.Marshal(r)
		if err != nil {
			return nil, errors.Wrap(err, "encode a record")
		}
		out.Records = append(out.Records, b)
	}
	if m.Snapshot != nil {
		b, err := json.Marshal(m.Snapshot)
		if err != nil {
			return nil, errors.Wrap(err, "encode a state")
		}
		out.Snapshot = b
	}
	out.Reports = reportsToProto(m.Reports)
	for _, id := range m.SilentInstances {
		out.Silent = append(out.Silent, string(id))
	}
	for _, s := range m.SuspectedMembers {
		out.Suspects = append(out.Suspects, refToProto(s))
	}
	for _, w := range m.Switchovers {
		out.Wishes = append(out.Wishes, &peerpb.Wish{Group: string(w.Group), Excluded: string(w.Excluded)})
	}
	return out, nil
}

// reportsToProto joins the reports about members of the same group, which stand
// one after the other, so that its name is sent once.
func reportsToProto(reports []bbrcontrol.MemberReport) []*peerpb.Report {
	var out []*peerpb.Report
	for _, r := range reports {
		if n := len(out); n == 0 || out[n-1].Group != string(r.Ref.Group) {
			out = append(out, &peerpb.Report{Group: string(r.Ref.Group)})
		}
		last := out[len(out)-1]
		last.Members = append(last.Members, reportToProto(r))
	}
	return out
}

func reportToProto(r bbrcontrol.MemberReport) *peerpb.MemberReport {
	out := &peerpb.MemberReport{Member: string(r.Ref.Member), Failing: r.Reachability == bbrfailover.ReachabilityFailing}
	if st := r.State; st != nil {
		out.State = &peerpb.MemberState{
			Primary: st.Primary, Position: uint64(st.Position), History: uint64(st.History),
			ReceivedAhead: uint64(max(st.Received, st.Position) - st.Position),
		}
		out.StateAgeMs = uint64(max(0, (r.StateAge + time.Millisecond - 1).Milliseconds()))
	}
	return out
}

// messageFromProto decodes a message. Malformed parts are errors.
func messageFromProto(m *peerpb.Message) (bbrcontrol.Message, error) {
	from := m.GetFrom()
	out := bbrcontrol.Message{
		From: bbrjournal.Instance{
			ID: bbrtype.InstanceID(from.GetId()), Name: from.GetName(), Address: from.GetAddress(),
			DataCentre: bbrtype.DataCentre(from.GetDataCentre()),
		},
		AppliedIndex: bbrtype.Index(m.GetApplied()), Joining: m.GetJoining(), Leaving: m.GetLeaving(), ConfigVersion: m.GetVersion(),
		GrantRequested: m.GetWantVouch(), Granted: m.GetVouched(), ReportsOmitted: m.GetCalm(), FleetName: m.GetFleet(),
	}
	if out.From.ID == "" {
		return out, errors.New("the message has no sender")
	}
	for _, b := range m.GetRecords() {
		var r bbrjournal.Record
		if err := json.Unmarshal(b, &r); err != nil {
			return out, errors.Wrap(err, "decode a record")
		}
		out.Records = append(out.Records, r)
	}
	if len(m.GetSnapshot()) > 0 {
		out.Snapshot = &bbrjournal.State{}
		if err := json.Unmarshal(m.GetSnapshot(), out.Snapshot); err != nil {
			return out, errors.Wrap(err, "decode a state")
		}
	}
	for _, r := range m.GetReports() {
		for _, member := range r.GetMembers() {
			out.Reports = append(out.Reports, reportFromProto(r.GetGroup(), member))
		}
	}
	for _, id := range m.GetSilent() {
		out.SilentInstances = append(out.SilentInstances, bbrtype.InstanceID(id))
	}
	for _, s := range m.GetSuspects() {
		out.SuspectedMembers = append(out.SuspectedMembers, refFromProto(s))
	}
	for _, w := range m.GetWishes() {
		out.Switchovers = append(out.Switchovers, bbrcontrol.SwitchoverRequest{
			Group: bbrtype.GroupName(w.GetGroup()), Excluded: bbrtype.MemberName(w.GetExcluded()),
		})
	}
	return out, nil
}

func reportFromProto(group string, r *peerpb.MemberReport) bbrcontrol.MemberReport {
	out := bbrcontrol.MemberReport{
		Ref:          bbrmember.Ref{Group: bbrtype.GroupName(group), Member: bbrtype.MemberName(r.GetMember())},
		Reachability: bbrfailover.ReachabilityResponding,
	}
	if r.GetFailing() {
		out.Reachability = bbrfailover.ReachabilityFailing
	}
	if st := r.GetState(); st != nil {
		out.State = &bbrmember.State{
			Primary: st.GetPrimary(), Position: bbrtype.Position(st.GetPosition()),
			Received: bbrtype.Position(st.GetPosition() + st.GetReceivedAhead()), History: bbrtype.History(st.GetHistory()),
		}
		out.StateAge = time.Duration(r.GetStateAgeMs()) * time.Millisecond
	}
	return out
}
