package core

import (
	"slices"
	"strings"

	"github.com/chalkhub/chalkhub/internal/peerproto"
	"github.com/chalkhub/chalkhub/internal/protocol"
)

// schedulingRound is what one round works with: the room on every machine that can be given
// work, and what each team uses. The round fills both up as it goes.
type schedulingRound struct {
	machines            []*candidateMachine
	withRoom            []*candidateMachine // those with any room left
	teamUsage           map[string]*usage
	bestEffortCPUs      float64               // CPUs that guests' tasks may be taking,
	bestEffortLimit     float64               // of so many that they may take
	infeasible          map[taskShape]bool    // no machine has room for a task like this any more
	quotaReservedFor    map[string]*queuedJob // team -> whose turn it is, what gets free of the limit is kept for that
	machineReservations int                   // for so many jobs machines are kept in this round
	smallestTaskCPUs    float64               // CPUs of the smallest task that waits
	victims             []victim              // what may be stopped, cheapest first
	victimsListed       bool                  // victims have been looked for
}

// candidateMachine is a machine in the leader's plan of one round.
type candidateMachine struct {
	freeCapacity
	name             string
	shard            *shardView
	view             *machineView
	imageCached      bool // holds the image of the job that is looked at
	reserved         bool // for a job whose turn it is
	preempting       bool // tasks are being stopped here for somebody else,
	preemptorUrgency int  // as urgent as this
}

func (o *scheduler) newRound() *schedulingRound {
	guessed := map[string][]*inflightAttempt{}
	made := map[string]int{} // machine -> the urgency that room is made for
	for name, f := range o.unplacedAttempts {
		if f.location == locationDispatched {
			guessed[f.plannedMachine] = append(guessed[f.plannedMachine], f)
		} else {
			delete(o.unplacedAttempts, name)
		}
	}
	for name, f := range o.stopRequests {
		if o.attempts[name] == f {
			if due, ok := made[f.machine]; !ok || f.stopUrgency < due {
				made[f.machine] = f.stopUrgency
			}
		} else {
			delete(o.stopRequests, name)
		}
	}
	out := &schedulingRound{teamUsage: o.computeTeamUsage(), infeasible: map[taskShape]bool{}}
	out.machines = make([]*candidateMachine, 0, o.machines.len())
	for name, v := range o.machines.all() {
		s := &v.state
		if !v.acceptsTasks() || v.unschedulable {
			continue
		}
		p := o.shards[v.shard]
		if p == nil || p.session == 0 || p.syncedEpoch != o.epoch {
			continue
		}
		// The machine's own, made anew: ten thousand of them for each round were
		// most of what the leader allocated.
		m := &v.plan
		*m = candidateMachine{name: name, shard: p, view: v, preemptorUrgency: lowestUrgency, freeCapacity: freeCapacity{
			cpus: v.machineType.CPUs - v.used.cpus, gpus: v.machineType.GPUs - v.used.gpus, memoryGB: v.machineType.MemoryGB - v.used.memoryGB, typeName: s.Type, zone: s.Zone, spot: s.Spot, cachedImages: v.images,
		}}
		if due, ok := made[name]; ok {
			m.preempting, m.preemptorUrgency = true, due
		}
		if len(guessed) > 0 {
			for _, f := range guessed[name] {
				m.allocate(&f.job.entry.record.Spec)
			}
		}
		out.machines = append(out.machines, m)
		if m.cpus > roundingSlack {
			out.withRoom = append(out.withRoom, m)
		}
	}
	o.limitBestEffort(out)
	return out
}

// dispatch sends the waiting tasks of a job to parts with room, roomiest first.
func (o *scheduler) dispatch(q *queuedJob, p *schedulingRound) {
	c := o.core
	s := &q.entry.record.Spec
	if !o.canStart(q, p) {
		return
	}
	if why := o.quotaReservedReason(q, p); why != "" {
		q.reason = why
		return
	}
	canary := o.isCrashLooping(q)
	if canary && !o.mayStartCanary(q) {
		return
	}
	fitting := o.feasibleMachines(q, p)
	at, held, sent := 0, 0, 0
	if c.debug {
		defer func() {
			if sent > 0 || q.reason != "" {
				c.logDebug("ranked", "job", q.id, "predicted", q.predictedSeconds, "guaranteed", q.withinGuarantee, "dispatched", sent, "waiting", q.waitingTasks(), "reason", q.reason)
			}
		}()
	}
	// Counted once: counting anew for each task of a huge job took the round's
	// whole share of the processor.
	left := q.waitingTasks()
	full := make([]bool, max(len(q.entry.record.Zones), 1)) // zones of a spread job
	q.firstWaiting = q.nextWaiting(q.firstWaiting)
	for i := q.firstWaiting; i < s.Tasks && sent < left; i = q.nextWaiting(i + 1) {
		if q.retryAt[i] > c.now.Monotonic {
			held++
			continue
		}
		if why := o.overLimitReason(s, 1, p); why != "" {
			q.reason = why
			if slices.ContainsFunc(fitting, func(m *candidateMachine) bool { return m.fits(s) }) {
				o.reserveQuota(q, 1, p)
			} else if sent == 0 {
				o.reserveMachines(q, 1, p)
			}
			return
		}
		if s.Spread && len(q.entry.record.Zones) == 1 && len(q.inflight) >= (s.Tasks+1)/2 {
			q.reason = "only half of its tasks may be in one zone at a time, and it may use no other"
			return
		}
		var m *candidateMachine
		if s.Spread {
			for _, x := range fitting {
				if x.fits(s) && taskMayRunOn(&q.entry.record, i, x.typeName, x.zone, x.spot) {
					m = x
					break
				}
			}
		} else {
			for at < len(fitting) && !(fitting[at].fits(s) && taskMayRunOn(&q.entry.record, i, fitting[at].typeName, fitting[at].zone, fitting[at].spot)) {
				at++
			}
			if at < len(fitting) {
				m = fitting[at]
			}
		}
		if m == nil && s.Spread && !full[(i+1)%len(full)] {
			// Its zone is full; tasks that belong into the other one go on. The first
			// task without room once held up all, with machines idle in that zone.
			if n := i % len(full); !full[n] {
				full[n] = true
				o.reassignZone(q, i)
			}
			continue
		}
		if m == nil {
			o.reassignZone(q, i)
			if q.reason == "" {
				q.reason = o.noRoomReason(s)
			}
			if q.stopCount > 0 {
				q.reason = q.stopReason + "; " + q.reason
			}
			if !q.startsEarly { // a first task waits for room, nothing is stopped for it
				o.preemptFor(q, p)
			}
			if sent == 0 {
				o.reserveMachines(q, 1, p)
			}
			return
		}
		if o.isAvoided(m, q) {
			// Its part would look for another of its machines, and give the task back.
			n := slices.IndexFunc(fitting, func(x *candidateMachine) bool {
				return x.shard == m.shard && !o.isAvoided(x, q) && x.fits(s) && taskMayRunOn(&q.entry.record, i, x.typeName, x.zone, x.spot)
			})
			if n < 0 {
				q.retryAt[i] = c.now.Monotonic + c.intervals.maintenance
				held++
				continue
			}
			m = fitting[n]
		}
		m.allocate(s)
		o.dispatchTask(q, i, m, o.nextAttemptNumber(), false, p)
		sent++
		q.reservedAt = 0
		if canary {
			q.failures.canaries++
			q.reason = o.failureReason(q)
			return
		}
		if q.startsEarly {
			q.reason = "its first task has started, the others wait for their turn"
			return
		}
	}
	switch {
	case held > 0:
		q.reason = o.failureReason(q)
	case slices.Contains(full, true) && q.reason == "":
		q.reason = o.noRoomReason(s)
	}
}

// feasibleMachines lists the machines with room for a task, in the order in which they
// are filled. What is full by now leaves the plan's free machines.
//
// Guards against small tasks that take, bit by bit, the room that others were stopped
// for: a guest's next ones did, and those of two less urgent jobs that were stopped in
// turn on the only machine that an urgent one could use, once a round for half an hour.
func (o *scheduler) feasibleMachines(q *queuedJob, p *schedulingRound) []*candidateMachine {
	s := &q.entry.record.Spec
	like := taskShape{s.CPUs, s.GPUs, s.MemoryGB, s.Zone, s.AllowSpot, o.core.bestEffortTeams[s.Team], strings.Join(s.MachineTypes, " "), q.effectiveUrgency}
	if p.infeasible[like] {
		return nil // within a round room only shrinks
	}
	var out []*candidateMachine
	room := map[*shardView]float64{}
	free := p.withRoom[:0]
	for _, m := range p.withRoom {
		if m.cpus <= roundingSlack {
			continue
		}
		free = append(free, m)
		if m.fits(s) && allowsMachine(s, m.typeName, m.zone, m.spot) && !(m.preempting && (o.core.bestEffortTeams[s.Team] || q.effectiveUrgency > m.preemptorUrgency)) {
			m.imageCached = m.hasImage(s.Image)
			out = append(out, m)
			room[m.shard] += m.cpus
		}
	}
	p.withRoom = free
	if len(out) == 0 {
		p.infeasible[like] = true
	}
	slices.SortStableFunc(out, func(x, y *candidateMachine) int {
		switch {
		case x.imageCached != y.imageCached:
			return comesFirst(x.imageCached)
		case x.spot != y.spot:
			return comesFirst(x.spot)
		case x.shard != y.shard && room[x.shard] != room[y.shard]:
			return comesFirst(room[x.shard] > room[y.shard])
		}
		return x.compareFree(&y.freeCapacity)
	})
	return out
}

// isAvoided reports whether the part of a machine puts none of a job there, since it has failed.
func (o *scheduler) isAvoided(m *candidateMachine, q *queuedJob) bool {
	return m.view.backoffUntil[q.id] > o.core.now.Monotonic
}

// taskShape is what decides which machines a task fits on.
type taskShape struct {
	cpus, gpus, memoryGB float64
	zone                 string
	spot, bestEffort     bool
	types                string
	urgency              int
}

// comesFirst is what a comparison returns when its left side does, or does not, come first.
func comesFirst(left bool) int {
	if left {
		return -1
	}
	return 1
}

// canStart says why a job can't be dispatched yet, whatever the room.
func (o *scheduler) canStart(q *queuedJob, p *schedulingRound) bool {
	s := &q.entry.record.Spec
	if q.unlocated {
		q.reason = "waits until every machine has been seen after a change of leader"
		return false
	}
	if !o.isWithinItsZone(q) {
		q.reason = "waits until its tasks in another zone have ended"
		return false
	}
	if (s.OneZone || s.Spread) && len(q.entry.record.Zones) == 0 {
		o.chooseZones(q, p.machines)
		q.reason = "waits for its zone to be chosen"
		return false
	}
	return true
}

// nextAttemptNumber gives a number that no start has had, without a write: the epoch and
// a count within it.
func (o *scheduler) nextAttemptNumber() uint64 {
	o.attemptCounter++
	return o.epoch<<attemptBits | o.attemptCounter
}

// dispatchTask dispatches a task to the part that owns m; hold asks for that very
// machine to keep room. The team's quota is debited here.
func (o *scheduler) dispatchTask(q *queuedJob, i int, m *candidateMachine, attempt uint64, hold bool, p *schedulingRound) {
	s := &q.entry.record.Spec
	if u := p.teamUsage[s.Team]; u != nil {
		u.add(s, 1)
	}
	if o.core.bestEffortTeams[s.Team] {
		p.bestEffortCPUs += s.CPUs
	}
	f := &inflightAttempt{job: q, taskIndex: i, number: attempt, plannedMachine: m.name, shard: m.shard.label,
		dispatchSession: m.shard.session, dispatchSeq: m.shard.messagesSent + 1, location: locationDispatched, claimants: map[string]bool{}}
	name := protocol.TaskName(q.id, i)
	o.trackAttempt(name, f)
	o.unplacedAttempts[name] = f
	delete(q.retryAt, i)
	try := peerproto.TaskAttempt{Task: name, Attempt: f.number}
	if s.OneZone || s.Spread {
		try.Version, f.recordVersion = q.entry.recordVersion, q.entry.recordVersion
		delete(q.zoneFullSince, zoneIndex(q, i))
	}
	if hold {
		try.Machine = m.name
	}
	m.shard.outbox.Dispatch = append(m.shard.outbox.Dispatch, try)
	m.shard.outboxDue = true
}

func (o *scheduler) noRoomReason(s *protocol.Job) string {
	if why := o.core.fleet.noCapacityReason(s); why != "" {
		return why
	}
	return "waits for room on a machine of its types and zone"
}
