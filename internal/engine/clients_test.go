package engine

import (
	"reflect"
	"testing"

	"github.com/chalkhub/chalkhub/internal/core"
)

// fakeClients returns, for every call, a result that identifies the request.
type fakeClients struct{}

func (fakeClients) Commit(request core.Commit) core.CommitResult {
	return core.CommitResult{ID: request.ID}
}

func (fakeClients) LoadPage(request core.LoadPage) core.LoadResult {
	return core.LoadResult{OK: request.After == "k"}
}

func (fakeClients) Watch(request core.Watch) core.WatchResult {
	return core.WatchResult{Barrier: request.Barrier}
}

func (fakeClients) RenewLease(request core.RenewLease) core.LeaseResult {
	return core.LeaseResult{LeaseID: request.LeaseID}
}

func (fakeClients) ListMachineTypes() core.MachineTypesResult {
	return core.MachineTypesResult{Outcome: core.CloudDone}
}

func (fakeClients) ListInstances(request core.ListInstances) core.ListInstancesResult {
	return core.ListInstancesResult{More: request.After == "m"}
}

func (fakeClients) CreateInstances(request core.CreateInstances) core.CreateInstancesResult {
	return core.CreateInstancesResult{Request: request.Request.RequestID}
}

func (fakeClients) DeleteInstances(request core.DeleteInstances) core.DeleteInstancesResult {
	return core.DeleteInstancesResult{Names: request.Names}
}

func (fakeClients) Call(request core.CallWorker) core.CallWorkerResult {
	return core.CallWorkerResult{Machine: request.Machine}
}

func (fakeClients) Probe(request core.ProbeWorker) core.ProbeResult {
	return core.ProbeResult{Machine: request.Machine}
}

// Each effect that is an outside call goes to the client for it, and the command is the client's
// result. All other effects have no call.
func TestEachOutsideCallGoesToItsClient(t *testing.T) {
	clients := Clients{Store: fakeClients{}, Cloud: fakeClients{}, Workers: fakeClients{}}
	for _, test := range []struct {
		effect core.Effect
		want   core.Command // nil: no call
	}{
		{core.Commit{ID: 7}, core.CommitResult{ID: 7}},
		{core.LoadPage{After: "k"}, core.LoadResult{OK: true}},
		{core.Watch{Barrier: true}, core.WatchResult{Barrier: true}},
		{core.RenewLease{LeaseID: 7}, core.LeaseResult{LeaseID: 7}},
		{core.ListMachineTypes{}, core.MachineTypesResult{Outcome: core.CloudDone}},
		{core.ListInstances{After: "m"}, core.ListInstancesResult{More: true}},
		{core.CreateInstances{}, core.CreateInstancesResult{}},
		{core.DeleteInstances{Names: []string{"m"}}, core.DeleteInstancesResult{Names: []string{"m"}}},
		{core.CallWorker{Machine: "m"}, core.CallWorkerResult{Machine: "m"}},
		{core.ProbeWorker{Machine: "m"}, core.ProbeResult{Machine: "m"}},
		{core.Reply{}, nil},
		{core.Log{}, nil},
		{core.SetReady{}, nil},
		{core.SendToPeer{}, nil},
		{core.ConnectPeer{}, nil},
		{core.ClosePeer{}, nil},
	} {
		t.Run(reflect.TypeOf(test.effect).Name(), func(t *testing.T) {
			call := clients.call(test.effect)
			if call == nil || test.want == nil {
				if call != nil || test.want != nil {
					t.Fatalf("the effect has a call: %v, want a call that returns %T", call != nil, test.want)
				}
				return
			}
			if got := call(); !reflect.DeepEqual(got, test.want) {
				t.Errorf("the call returned %+v, want %+v", got, test.want)
			}
		})
	}
}
