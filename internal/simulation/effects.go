package simulation

import (
	"fmt"
	"time"

	"github.com/chalkhub/chalkhub/internal/config"
	"github.com/chalkhub/chalkhub/internal/core"
	"github.com/chalkhub/chalkhub/internal/protocol"
)

const (
	// endpointStore and endpointCloud are the network endpoints of the regional services, which
	// are in no zone.
	endpointStore = "state"
	endpointCloud = "cloud"
	// endpointUsers is the network endpoint of all users together.
	endpointUsers = "users"

	// serviceTimeout is how long a node waits for a response of the store or the cloud.
	serviceTimeout = time.Second
	// emptyCallTimeoutDivisor divides the timeout of a call to a worker if the call carries no
	// commands.
	emptyCallTimeoutDivisor = 4
)

// perform executes one effect of the node's core.
func (n *Node) perform(effect core.Effect) {
	switch effect := effect.(type) {
	case core.Reply:
		n.performReply(effect)
	case core.Log:
		n.cluster.Logs = append(n.cluster.Logs, fmt.Sprintf("%.3f %s %s %v", n.cluster.Now.Seconds(), n.Label, effect.Text, effect.Args))
	case core.SetReady:
		n.Ready = effect.Ready
	case core.Commit, core.LoadPage, core.Watch, core.RenewLease:
		n.performStoreCall(effect)
	case core.CallWorker:
		n.performCallWorker(effect)
	case core.ProbeWorker:
		n.performProbeWorker(effect)
	case core.ListMachineTypes, core.ListInstances, core.CreateInstances, core.DeleteInstances:
		n.performCloudCall(effect)
	case core.ConnectPeer:
		n.performConnectPeer(effect)
	case core.SendToPeer:
		n.performSendToPeer(effect)
	case core.ClosePeer:
		if link := n.cluster.peerLinks[effect.Session]; link != nil {
			link.close()
		}
	default:
		panic(fmt.Sprintf("simulation: unknown effect %T", effect))
	}
}

// callFrom makes a call from a node to an endpoint; serve runs at the endpoint. The result that
// serve passes to reply is posted to the node's core, or failureResult if the connection breaks or
// no response arrives within the timeout. Nothing is posted once the calling process has ended.
func callFrom[T core.Command](n *Node, to string, timeout time.Duration, serve func(reply func(T)), failureResult T) {
	incarnation := n.incarnation
	post := func(result T) {
		if n.incarnation == incarnation {
			n.Post(result)
		}
	}
	call(n.cluster, n.Label, to, timeout, serve, post, func() { post(failureResult) })
}

func (n *Node) performReply(effect core.Reply) {
	if onReply := n.pendingRequests[effect.ID]; onReply != nil {
		delete(n.pendingRequests, effect.ID)
		onReply(effect)
	}
}

func (n *Node) performStoreCall(effect core.Effect) {
	switch effect := effect.(type) {
	case core.Commit:
		n.performCommit(effect)
	case core.LoadPage:
		n.performLoadPage(effect)
	case core.Watch:
		n.performWatch(effect)
	case core.RenewLease:
		n.performRenewLease(effect)
	}
}

func (n *Node) performCommit(effect core.Commit) {
	previousVersion := n.runsPreviousVersion
	if previousVersion {
		effect.Txn = previousVersionTransaction(effect.Txn)
	}
	callFrom(n, endpointStore, serviceTimeout, func(reply func(core.CommitResult)) {
		outcome, response := n.cluster.Store.Commit(n.Label, previousVersion, effect.Txn)
		if outcome != core.CommitUnknown {
			reply(core.CommitResult{ID: effect.ID, Outcome: outcome, Response: response})
		}
	}, core.CommitResult{ID: effect.ID})
}

func (n *Node) performLoadPage(effect core.LoadPage) {
	sentAt := n.clock()
	callFrom(n, endpointStore, serviceTimeout, func(reply func(core.LoadResult)) {
		reply(n.cluster.Store.loadPage(n.Label, effect.After, sentAt))
	}, core.LoadResult{})
}

func (n *Node) performWatch(effect core.Watch) {
	sentAt := n.clock()
	callFrom(n, endpointStore, serviceTimeout+effect.Hold, func(reply func(core.WatchResult)) {
		n.cluster.Store.handleWatch(n.Label, effect, func(outcome core.WatchOutcome, response protocol.WatchResponse) {
			reply(core.WatchResult{Barrier: effect.Barrier, SentAt: sentAt, Outcome: outcome, Response: response})
		})
	}, core.WatchResult{Barrier: effect.Barrier, SentAt: sentAt})
}

func (n *Node) performRenewLease(effect core.RenewLease) {
	sentAt := n.clock()
	callFrom(n, endpointStore, serviceTimeout, func(reply func(core.LeaseResult)) {
		id, outcome := n.cluster.Store.handleLease(n.Label, effect)
		reply(core.LeaseResult{SentAt: sentAt, LeaseID: id, Outcome: outcome})
	}, core.LeaseResult{SentAt: sentAt})
}

func (n *Node) performCallWorker(effect core.CallWorker) {
	timeout := config.Seconds(n.cluster.Settings.Site.Workers.HeartbeatS)
	if len(effect.Body.Commands) == 0 {
		timeout /= emptyCallTimeoutDivisor
	}
	callFrom(n, effect.Machine, timeout, func(reply func(core.CallWorkerResult)) {
		worker := n.cluster.Workers[effect.Machine]
		if worker == nil {
			return
		}
		worker.handleDirectCommands(effect.Body, func(outcome core.DirectOutcome, report protocol.Heartbeat) {
			reply(core.CallWorkerResult{Machine: effect.Machine, CallID: effect.CallID, Outcome: outcome, Report: report})
		})
	}, core.CallWorkerResult{Machine: effect.Machine, CallID: effect.CallID})
}

func (n *Node) performProbeWorker(effect core.ProbeWorker) {
	timeout := config.Seconds(n.cluster.Settings.Site.Workers.HeartbeatS)
	callFrom(n, effect.Machine, timeout, func(reply func(core.ProbeResult)) {
		if worker := n.cluster.Workers[effect.Machine]; worker != nil && !worker.Hung {
			reply(core.ProbeResult{Machine: effect.Machine, OK: true})
		}
	}, core.ProbeResult{Machine: effect.Machine})
}

func (n *Node) performCloudCall(effect core.Effect) {
	cloud := n.cluster.Cloud
	switch effect := effect.(type) {
	case core.ListMachineTypes:
		callFrom(n, endpointCloud, serviceTimeout, func(reply func(core.MachineTypesResult)) {
			reply(cloud.listTypes())
		}, core.MachineTypesResult{})
	case core.ListInstances:
		callFrom(n, endpointCloud, serviceTimeout, func(reply func(core.ListInstancesResult)) {
			reply(cloud.list(effect.After))
		}, core.ListInstancesResult{})
	case core.CreateInstances:
		request := effect.Request.RequestID
		callFrom(n, endpointCloud, serviceTimeout, func(reply func(core.CreateInstancesResult)) {
			names, outcome := cloud.createInstances(effect.Request)
			reply(core.CreateInstancesResult{Request: request, Outcome: outcome, Names: names})
		}, core.CreateInstancesResult{Request: request})
	case core.DeleteInstances:
		callFrom(n, endpointCloud, serviceTimeout, func(reply func(core.DeleteInstancesResult)) {
			reply(cloud.deleteInstances(effect.Names))
		}, core.DeleteInstancesResult{Names: effect.Names})
	}
}

// performConnectPeer closes the peer links that the node has dialed to other peers and dials the
// given peer.
func (n *Node) performConnectPeer(effect core.ConnectPeer) {
	n.peerTarget = effect.Label
	for _, link := range n.cluster.sortedPeerLinks() {
		if link.dialer == n && link.acceptor.Label != effect.Label {
			link.close()
		}
	}
	n.dialPeer()
}

func (n *Node) performSendToPeer(effect core.SendToPeer) {
	if n.runsPreviousVersion {
		effect.Message = previousVersionMessage(effect.Message)
	}
	if link := n.cluster.peerLinks[effect.Session]; link != nil {
		link.send(n, effect.Message)
	}
}
