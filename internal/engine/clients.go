package engine

import "github.com/chalkhub/chalkhub/internal/core"

// Clients carry out what the core wants done outside. The methods of all but Peers block
// for as long as the call takes; each is called in a goroutine of its own.
type Clients struct {
	Store   StoreClient
	Cloud   CloudClient
	Workers WorkerClient
	Peers   PeerLinks
}

// StoreClient calls the state service.
type StoreClient interface {
	Commit(core.Commit) core.CommitResult
	LoadPage(core.LoadPage) core.LoadResult
	Watch(core.Watch) core.WatchResult
	RenewLease(core.RenewLease) core.LeaseResult
}

// CloudClient calls the cloud.
type CloudClient interface {
	ListMachineTypes() core.MachineTypesResult
	ListInstances(core.ListInstances) core.ListInstancesResult
	CreateInstances(core.CreateInstances) core.CreateInstancesResult
	DeleteInstances(core.DeleteInstances) core.DeleteInstancesResult
}

// WorkerClient calls workers directly.
type WorkerClient interface {
	Call(core.CallWorker) core.CallWorkerResult
	Probe(core.ProbeWorker) core.ProbeResult
}

// PeerLinks are the links to the other controllers. Their methods do not block; what comes
// over a link is posted to the engine.
type PeerLinks interface {
	Connect(label string)
	Send(core.SendToPeer)
	CloseSession(session uint64)
}

// call is the call to the outside that an effect stands for, and gives the command that
// answers it. It is nil for an effect that is no such call.
func (c *Clients) call(effect core.Effect) func() core.Command {
	switch effect := effect.(type) {
	case core.Commit:
		return func() core.Command { return c.Store.Commit(effect) }
	case core.LoadPage:
		return func() core.Command { return c.Store.LoadPage(effect) }
	case core.Watch:
		return func() core.Command { return c.Store.Watch(effect) }
	case core.RenewLease:
		return func() core.Command { return c.Store.RenewLease(effect) }
	case core.CallWorker:
		return func() core.Command { return c.Workers.Call(effect) }
	case core.ProbeWorker:
		return func() core.Command { return c.Workers.Probe(effect) }
	case core.ListMachineTypes:
		return func() core.Command { return c.Cloud.ListMachineTypes() }
	case core.ListInstances:
		return func() core.Command { return c.Cloud.ListInstances(effect) }
	case core.CreateInstances:
		return func() core.Command { return c.Cloud.CreateInstances(effect) }
	case core.DeleteInstances:
		return func() core.Command { return c.Cloud.DeleteInstances(effect) }
	default:
		return nil
	}
}
