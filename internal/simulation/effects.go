package simulation

import (
	"fmt"
	"time"

	"github.com/chalkhub/chalkhub/internal/config"
	"github.com/chalkhub/chalkhub/internal/core"
	"github.com/chalkhub/chalkhub/internal/protocol"
)

const (
	// endpointStore and endpointCloud are the network's names of the regional services.
	endpointStore = "state"
	endpointCloud = "cloud"
	// endpointUsers is the network's name of all users together.
	endpointUsers = "users"

	// serviceTimeout is how long a node waits for an answer of the store or the cloud.
	serviceTimeout = time.Second
	// emptyCallTimeoutDivisor is the share of the usual patience that a node has with a worker
	// which it sends no commands to.
	emptyCallTimeoutDivisor = 4
)

// perform carries out one effect of the node's core.
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

// callFrom carries a call of a node to an endpoint. The result, or noAnswer after the
// timeout, is posted to the node's core, if its process still runs by then.
func callFrom[T core.Command](n *Node, to string, timeout time.Duration, serve func(reply func(T)), noAnswer T) {
	incarnation := n.incarnation
	post := func(result T) {
		if n.incarnation == incarnation {
			n.Post(result)
		}
	}
	call(n.cluster, n.Label, to, timeout, serve, post, func() { post(noAnswer) })
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
		outcome, answer := n.cluster.Store.Commit(n.Label, previousVersion, effect.Txn)
		if outcome != core.CommitUnknown {
			reply(core.CommitResult{ID: effect.ID, Outcome: outcome, Response: answer})
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
		n.cluster.Store.handleWatch(n.Label, effect, func(outcome core.WatchOutcome, answer protocol.WatchResponse) {
			reply(core.WatchResult{Barrier: effect.Barrier, SentAt: sentAt, Outcome: outcome, Response: answer})
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

// performConnectPeer replaces the node's outgoing peer links by one to the given peer.
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
