package engine

import "github.com/chalkhub/chalkhub/internal/core"

// Clients carry out the core's effects on other systems. The methods of all clients but Peers block
// for as long as the call takes. Each call runs in a goroutine of its own, so these clients must be
// safe for concurrent use.
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

// WorkerClient calls workers directly, outside their heartbeats.
type WorkerClient interface {
	Call(core.CallWorker) core.CallWorkerResult
	Probe(core.ProbeWorker) core.ProbeResult
}

// PeerLinks are the links to the other controllers. Their methods do not block. Messages that
// arrive over a link are posted to the engine.
type PeerLinks interface {
	Connect(label string)
	Send(core.SendToPeer)
	CloseSession(session uint64)
}

// call returns the function that makes the outside call of an effect and returns the result as
// a command. It returns nil for an effect that is not an outside call.
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
