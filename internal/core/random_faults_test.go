package core_test

import (
	"maps"
	"slices"
	"time"

	"pgregory.net/rapid"

	"github.com/chalkhub/chalkhub/internal/protocol"
	"github.com/chalkhub/chalkhub/internal/simulation"
)

// fault is one randomly drawn fault. All fields are drawn for every kind of fault, and each kind uses some
// of them.
type fault struct {
	*deployment
	rt           *rapid.T
	s            *scenario
	at, duration time.Duration // simulated time at which the fault begins, and its length
	node         *simulation.Node
	count        int // number of machines or jobs that are affected
	keepPackets  bool
	zone         string
}

// injectors holds, by kind of fault, the function that schedules it.
var injectors = mergeInjectors(controllerFaults, storeFaults, networkFaults, machineFaults, cloudFaults, requestFaults)

func mergeInjectors(groups ...map[string]func(*fault)) map[string]func(*fault) {
	all := map[string]func(*fault){}
	for _, group := range groups {
		maps.Copy(all, group)
	}
	return all
}

// faultKinds lists the kinds that are drawn. A kind is drawn by its index, so a change of the order changes
// the simulation that a seed gives.
var faultKinds = []string{
	"all controllers down", "all controllers crash", "commit responses lost", "job burst",
	"cancellation while machines hang", "cancellation as store refuses leader", "cancellation at completion",
	"cancellation during handover", "cloud down", "commands delayed", "packets duplicated", "controller crash",
	"crash loop", "cancellation then outage", "late commits", "leader partitioned from all but workers and users",
	"repeated failovers", "link faults", "link faults (second entry)", "controllers cannot reach machines", "machines terminated",
	"machines hang", "machines cannot reach controllers", "faulty machines", "slow machines", "no cloud capacity",
	"partition from cloud", "controller isolated", "partition from store", "partition from workers",
	"invalid requests", "peer connections refused", "poll flood", "controller refused by store",
	"heartbeats delayed past failover", "heartbeats replayed at failover", "rolling restart", "slow peer links",
	"controller paused", "store outage", "slow store", "spot machines reclaimed", "ten failovers",
	"two controllers crash", "zone partitioned", "zones partitioned from each other",
}

// drawFault draws a fault, schedules it and returns its kind.
func (d *deployment) drawFault(rt *rapid.T, s *scenario) string {
	f := &fault{deployment: d, rt: rt, s: s, at: drawDuration(rt, "at", 2, 100), duration: drawDuration(rt, "duration", 1, 60)}
	f.recordEnd(f.at + f.duration)
	f.node = rapid.SampledFrom(s.Nodes).Draw(rt, "node")
	f.count = rapid.IntRange(1, 12).Draw(rt, "affected count")
	f.keepPackets = rapid.Bool().Draw(rt, "packets held")
	f.zone = rapid.SampledFrom(d.settings.Site.Zones).Draw(rt, "zone")
	kind := rapid.SampledFrom(faultKinds).Draw(rt, "fault kind")
	injectors[kind](f)
	return kind
}

// recordEnd records that the fault lasts until the given time, so that the simulation treats the faults as
// over no earlier than a second after it.
func (f *fault) recordEnd(end time.Duration) { f.faultsOverAt = max(f.faultsOverAt, end+second) }

// atStart schedules a function for the beginning of the fault.
func (f *fault) atStart(begin func()) { f.s.At(f.at, begin) }

// during schedules one function for the beginning of the fault and one for its end.
func (f *fault) during(begin, end func()) {
	f.s.At(f.at, begin)
	f.s.At(f.at+f.duration, end)
}

// onMachines applies a function to up to f.count random machines at the beginning of the fault.
func (f *fault) onMachines(apply func(*simulation.Worker)) {
	f.atStart(func() {
		for _, machine := range f.s.RandomWorkers(f.count) {
			apply(machine)
		}
	})
}

// partition separates two endpoints from each other for the duration of the fault.
func (f *fault) partition(a, b string) {
	f.during(func() { f.s.Partition(a, b, f.keepPackets) }, func() { f.s.Heal(a, b) })
}

// refuseLeader makes the store refuse all requests of the controller that is the leader now, for the given
// duration.
func (f *fault) refuseLeader(duration time.Duration) {
	if leader := f.s.currentLeader(); leader != nil {
		f.s.Store.RefusedNodes[leader.Label] = true
		f.s.After(duration, func() { delete(f.s.Store.RefusedNodes, leader.Label) })
	}
}

// controllerFaults crash, restart and pause controllers.
var controllerFaults = map[string]func(*fault){
	"all controllers down": func(f *fault) {
		down := f.lease() + f.duration/4
		for _, node := range f.s.Nodes {
			f.atStart(func() { node.Crash(down) })
		}
		f.recordEnd(f.at + down)
	},
	"ten failovers": func(f *fault) {
		for k := range 10 {
			f.s.At(f.at+time.Duration(k)*12*second, func() { f.s.crashLeader(second / 5) })
		}
		f.recordEnd(f.at + 109*second)
	},
	"controller crash": func(f *fault) {
		delay := drawRestartDelay(f.rt)
		f.atStart(func() { f.node.Crash(delay) })
	},
	"two controllers crash": func(f *fault) {
		delay, other := drawRestartDelay(f.rt), f.s.Nodes[(slices.Index(f.s.Nodes, f.node)+1)%len(f.s.Nodes)]
		f.atStart(func() { f.node.Crash(delay) })
		f.s.At(f.at+delay/2, func() { other.Crash(delay) })
	},
	"all controllers crash": func(f *fault) {
		for _, node := range f.s.Nodes { // each restarts after its own delay, so in any order
			delay := drawRestartDelay(f.rt)
			f.atStart(func() { node.Crash(delay) })
		}
	},
	"rolling restart": func(f *fault) {
		delay := drawRestartDelay(f.rt)
		for i, node := range f.s.Nodes {
			f.s.At(f.at+time.Duration(i)*f.duration/8, func() { node.Crash(delay) })
		}
	},
	"crash loop": func(f *fault) {
		for i := range 10 {
			f.s.At(f.at+time.Duration(i)*second, func() { f.node.Crash(50 * time.Millisecond) })
		}
	},
	"repeated failovers": func(f *fault) {
		delay := drawRestartDelay(f.rt)
		for i := range 4 { // whichever controller is the leader then crashes, possibly while it is still taking over
			f.s.At(f.at+time.Duration(i)*f.lease()/8, func() { f.s.crashLeader(delay) })
		}
	},
	"controller paused": func(f *fault) {
		f.atStart(func() {
			if f.node.Alive() {
				f.node.Pause(f.duration)
			}
		})
	},
}

// storeFaults are outages, refusals, delays and lost responses of the state service.
var storeFaults = map[string]func(*fault){
	"commit responses lost": func(f *fault) {
		share, store := drawFloat(f.rt, "share", 0.1, 0.7), f.s.Store
		f.during(func() { store.DelayedCommitShare, store.MaxCommitDelay = share, 0 }, func() { store.DelayedCommitShare, store.MaxCommitDelay = 0.02, 12*second })
	},
	"late commits": func(f *fault) {
		share, store := drawFloat(f.rt, "share", 0.1, 0.6), f.s.Store
		before := store.DelayedCommitShare
		f.during(func() { store.DelayedCommitShare, store.MinCommitDelay = share, 2*second }, func() { store.DelayedCommitShare, store.MinCommitDelay = before, 0 })
	},
	"controller refused by store": func(f *fault) {
		f.during(func() { f.s.Store.RefusedNodes[f.node.Label] = true }, func() { delete(f.s.Store.RefusedNodes, f.node.Label) })
	},
	"store outage": func(f *fault) {
		f.atStart(func() { f.s.Store.Outage(f.duration) })
	},
	"slow store": func(f *fault) {
		f.during(func() { f.s.Store.ResponseDelay = 300 * time.Millisecond }, func() { f.s.Store.ResponseDelay = 0 })
	},
	"cancellation as store refuses leader": func(f *fault) {
		f.atStart(func() {
			f.refuseLeader(f.duration)
			f.cancelRunning(f.s, f.count)
		})
		if f.keepPackets {
			f.s.At(f.at+second, func() { f.s.Store.Outage(f.duration) })
		}
	},
	"cancellation then outage": func(f *fault) { // jobs are cancelled through the controllers that the store still serves
		beforeOutage := drawDuration(f.rt, "only the leader refused for", 0.5, 4.5)
		outage := f.s.cancelTimeout() + drawDuration(f.rt, "outage beyond the cancellation deadline", 1, 30)
		f.recordEnd(f.at + beforeOutage + outage)
		f.atStart(func() {
			f.refuseLeader(beforeOutage + outage)
			f.cancelRunning(f.s, f.count)
		})
		f.s.At(f.at+beforeOutage, func() { f.s.Store.Outage(outage) })
	},
}

// networkFaults are partitions, and links that delay or duplicate packets or refuse connections.
var networkFaults = map[string]func(*fault){
	"packets duplicated": func(f *fault) {
		f.during(func() { f.s.DuplicateShare, f.s.MaxDuplicateDelay = 0.2, f.duration }, func() { f.s.DuplicateShare = 0 })
	},
	"partition from store":   func(f *fault) { f.partition(f.node.Label, "state") },
	"partition from workers": func(f *fault) { f.partition(f.node.Label, "workers") },
	"partition from cloud":   func(f *fault) { f.partition(f.node.Label, "cloud") },
	"controller isolated": func(f *fault) {
		for _, end := range []string{"state", "workers", "cloud", "users"} {
			f.partition(f.node.Label, end)
		}
		for _, other := range f.s.Nodes {
			if other != f.node {
				f.partition(f.node.Label, other.Label)
			}
		}
	},
	"leader partitioned from all but workers and users": func(f *fault) {
		f.atStart(func() {
			if leader := f.s.currentLeader(); leader != nil {
				f.s.partition(f.duration, leader.Label, f.s.otherEndpoints(leader)...)
			}
			f.s.After(f.duration/4, func() { f.cancelRunning(f.s, f.count) })
		})
	},
	"commands delayed": func(f *fault) {
		link := simulation.Link{Hold: true, FlapPeriod: drawDuration(f.rt, "period", 1, 8)}
		f.during(func() { f.s.SetLink(f.node.Label, "workers", link) }, func() { f.s.SetLink(f.node.Label, "workers", simulation.Link{}) })
	},
	"peer connections refused": func(f *fault) {
		f.during(func() { f.s.PeersRefuseConnections = true }, func() { f.s.PeersRefuseConnections = false })
	},
	"slow peer links": func(f *fault) {
		f.during(func() { f.s.PeerLatency = 400 * time.Millisecond }, func() { f.s.PeerLatency = 0 })
	},
	"link faults":                (*fault).drawLinkFaults,
	"link faults (second entry)": (*fault).drawLinkFaults, // link faults are drawn twice as often as any other kind
	"zone partitioned": func(f *fault) {
		f.during(func() { f.s.PartitionZone(f.zone, "", f.keepPackets) }, func() { f.s.HealZone(f.zone, "") })
	},
	"zones partitioned from each other": func(f *fault) {
		if other := rapid.SampledFrom(f.settings.Site.Zones).Draw(f.rt, "other"); other != f.zone {
			f.during(func() { f.s.PartitionZone(f.zone, other, f.keepPackets) }, func() { f.s.HealZone(f.zone, other) })
		}
	},
}

// drawLinkFaults draws one to four faulty links. Each of them fails in one direction or both, and they are
// restored in any order.
func (f *fault) drawLinkFaults() {
	for range rapid.IntRange(1, 4).Draw(f.rt, "links") {
		f.drawLinkFault()
	}
}

func (f *fault) drawLinkFault() {
	from := rapid.SampledFrom(f.s.Nodes).Draw(f.rt, "from").Label
	to := rapid.SampledFrom([]string{"state", "workers", "workers/" + f.zone, "workers/even", "workers/odd", "cloud", "controller"}).Draw(f.rt, "to")
	if to == "controller" {
		to = rapid.SampledFrom(f.s.Nodes).Draw(f.rt, "to controller").Label
	}
	link := rapid.SampledFrom([]simulation.Link{simulation.Dropped, simulation.Held, simulation.Refused, simulation.ResetOnSend, simulation.Unread,
		{Delay: 2 * second}, {Loss: 0.4}, {MaxMessageBytes: 4096}}).Draw(f.rt, "link")
	if rapid.IntRange(0, 3).Draw(f.rt, "flaps") == 3 {
		link.FlapPeriod = drawDuration(f.rt, "period", 0.5, 12.5)
	}
	const (
		outboundOnly = iota
		inboundOnly
	)
	direction := rapid.IntRange(0, 2).Draw(f.rt, "direction") // outbound only, inbound only or both
	begin, end := drawDuration(f.rt, "begins after", 0, 10), drawDuration(f.rt, "ends after", 12, 70)
	set := func(link simulation.Link) {
		if direction != inboundOnly {
			f.s.SetLink(from, to, link)
		}
		if direction != outboundOnly {
			f.s.SetLink(to, from, link)
		}
	}
	f.s.At(f.at+begin, func() { set(link) })
	f.s.At(f.at+end, func() { set(simulation.Link{}) })
	f.recordEnd(f.at + end)
}

// machineFaults are faults of machines and their workers, and delayed or replayed heartbeats.
var machineFaults = map[string]func(*fault){
	"machines cannot reach controllers": func(f *fault) {
		f.onMachines(func(machine *simulation.Worker) {
			machine.OutboundBlocked = true
			f.s.After(f.duration, func() { machine.OutboundBlocked = false })
		})
	},
	"controllers cannot reach machines": func(f *fault) {
		f.onMachines(func(machine *simulation.Worker) {
			for _, node := range f.s.Nodes {
				f.s.SetLink(node.Label, machine.Info.Name, simulation.Dropped)
				f.s.After(f.duration, func() { f.s.SetLink(node.Label, machine.Info.Name, simulation.Link{}) })
			}
		})
	},
	"machines terminated": func(f *fault) {
		f.onMachines(func(machine *simulation.Worker) { f.s.Cloud.Remove(machine.Info.Name) })
	},
	"machines hang": func(f *fault) {
		f.onMachines(func(machine *simulation.Worker) {
			machine.Hung = true
			f.s.After(f.duration, func() { machine.Hung = false })
		})
	},
	"faulty machines": func(f *fault) {
		f.onMachines(func(machine *simulation.Worker) {
			machine.Faulty = true
			f.s.After(f.duration, func() { machine.Faulty = false })
		})
	},
	"slow machines":           func(f *fault) { f.onMachines(func(machine *simulation.Worker) { machine.SlowFactor = 3 }) },
	"spot machines reclaimed": func(f *fault) { f.onMachines(func(machine *simulation.Worker) { machine.Reclaim(f.duration / 8) }) },
	"heartbeats delayed past failover": func(f *fault) {
		f.onMachines(func(machine *simulation.Worker) {
			for _, node := range f.s.Nodes {
				f.s.SetLink(machine.Info.Name, node.Label, simulation.Held)
				f.s.After(f.duration, func() { f.s.SetLink(machine.Info.Name, node.Label, simulation.Link{}) })
			}
		})
		f.s.At(f.at+second, func() { f.s.crashLeader(second / 5) })
	},
	"heartbeats replayed at failover": func(f *fault) {
		f.during(func() { f.s.RetainHeartbeats = true }, func() { f.s.RetainHeartbeats = false })
		f.s.At(f.at+f.duration+time.Duration(f.count)*second/12, func() { f.s.crashLeader(second / 5) })
	},
	"cancellation while machines hang": func(f *fault) {
		hang := drawDuration(f.rt, "hang", 0.5, 1.5*f.lease().Seconds())
		delay := drawRestartDelay(f.rt)
		f.atStart(func() {
			f.hangMachinesOfJobs(hang)
			f.cancelRunning(f.s, 6)
		})
		f.s.At(f.at+delay/4, func() { f.s.crashLeader(delay) })
	},
}

// hangMachinesOfJobs makes up to f.count machines that run tasks hang for the given duration, beginning with
// the machines of the first job.
func (f *fault) hangMachinesOfJobs(duration time.Duration) {
	remaining := f.count
	for _, job := range f.jobs {
		for i := 0; i < job.Spec.Tasks && remaining > 0; i++ {
			if machine := f.s.Workers[job.MachineOf(i)]; machine != nil && !machine.Hung {
				remaining--
				machine.Hung = true
				f.s.After(duration, func() { machine.Hung = false })
			}
		}
	}
}

// cloudFaults are outages and missing capacity of the cloud.
var cloudFaults = map[string]func(*fault){
	"cloud down": func(f *fault) {
		f.during(func() { f.s.Cloud.Down = true }, func() { f.s.Cloud.Down = false })
	},
	"no cloud capacity": func(f *fault) {
		f.during(func() {
			for _, machineType := range f.types {
				f.s.Cloud.Capacity[machineType.Name] = 0
			}
		}, func() {
			for _, machineType := range f.types {
				delete(f.s.Cloud.Capacity, machineType.Name)
			}
		})
	},
}

// requestFaults are user requests that are invalid or very frequent, and cancellations that are sent when a
// job completes or while a shard is handed over.
var requestFaults = map[string]func(*fault){
	"cancellation at completion": func(f *fault) {
		f.during(func() { f.s.Users.CancelAtEndShare = 0.4 }, func() { f.s.Users.CancelAtEndShare = 0 })
	},
	"cancellation during handover": func(f *fault) {
		delay := drawRestartDelay(f.rt)
		f.atStart(func() { f.node.Crash(delay) })
		for k := range 6 {
			f.s.At(f.at+time.Duration(k)*f.lease()/8, func() { f.cancelRunning(f.s, 1) })
		}
	},
	"invalid requests": func(f *fault) {
		for k := range 8 {
			f.s.At(f.at+time.Duration(k)*f.duration/8, func() { f.sendInvalidRequests(f.s, k) })
		}
	},
	"poll flood": func(f *fault) {
		for k := range 300 {
			f.s.At(f.at+time.Duration(k)*f.duration/300, f.s.Users.PollAny)
		}
	},
	"job burst": func(f *fault) {
		f.atStart(func() {
			for k := range 25 {
				spec := simulation.Array(1 + k%3)
				spec.Team = f.teamName(k)
				spec.AllowSpot = k%2 == 0
				f.cpuSeconds += 5
				f.jobs = append(f.jobs, f.s.Users.Submit(spec, 4))
			}
		})
	},
}

// sendInvalidRequests makes users submit a job that can never run, cancel the jobs that are done and submit
// the other accepted jobs once more. The number k selects what is wrong with the new job.
func (d *deployment) sendInvalidRequests(s *scenario, k int) {
	spec := simulation.Array(1)
	spec.Team = d.teamName(k)
	switch k % 2 {
	case 0:
		spec.CPUs = 4096
	case 1:
		spec.MachineTypes = []string{"no such type"}
	}
	s.Users.SubmitInvalid(spec)
	for _, job := range d.jobs {
		switch {
		case job.LastState == protocol.JobDone:
			s.Users.Cancel(job)
		case job.Accepted:
			s.Users.Resubmit(job)
		}
	}
}
