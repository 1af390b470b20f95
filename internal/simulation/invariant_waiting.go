package simulation

import (
	"time"

	"github.com/chalkhub/chalkhub/internal/protocol"
)

// maxIdleWait is how long a job may wait, once all troubles are over, while one and the same
// machine could take its next task all the time and its team is under its limit.
const maxIdleWait = 90 * time.Second

// checkWaiting looks whether a job waits for nothing; its user's polls call it. How what is
// not a plain array is judged:
//
//   - A gang needs room for all of its tasks at once, within its zones' rule, so it waits for
//     something unless the machines that could take one task could take all.
//   - A job that keeps its tasks in one zone, or spreads them, may use the zones that its
//     other tasks on machines at that moment leave it.
//   - A job that needs others waits for them until they are done.
//   - A machine that was faulty may be in quarantine, one that hangs or will be taken back
//     takes nothing, and a job that fails everywhere waits for its next try: none of these
//     count. A machine that is in quarantine for such a job's sake does.
func (u *Users) checkWaiting(j *Job) {
	if u.Calm == 0 || u.cluster.Now < u.Calm || !u.couldStart(j) {
		j.idleSince = nil
		return
	}
	since := map[string]time.Duration{}
	room := map[string]int{} // tasks, by zone
	for name, k := range u.cluster.Workers {
		n := k.fittingTasks(&j.Spec)
		if n == 0 || !u.placeAllows(j, k.Info.Zone) {
			continue
		}
		room[k.Info.Zone] += n
		if at, ok := j.idleSince[name]; ok && k.lastTaskAt < at {
			since[name] = at
		} else {
			since[name] = u.cluster.Now
		}
	}
	if j.Spec.Kind == protocol.KindGang && !allCapacityCovers(&j.Spec, room) {
		since = nil
	}
	j.idleSince = since
	for name, at := range since {
		if u.cluster.Now-max(at, j.lastStartAt) > maxIdleWait {
			s, m := &j.Spec, u.cluster.Workers[name].Info
			u.cluster.recordViolation("left_waiting", "%s (%s, %d tasks of %g CPUs, zone %q, one zone %v, spread %v, spot %v) is %s (%s); %s (%s in %s, spot %v) has had room for it since %.3f",
				s.ID, s.Kind, s.Tasks, s.CPUs, s.Zone, s.OneZone, s.Spread, s.AllowSpot, j.Told, j.Answer.Reason, name, m.Type, m.Zone, m.Spot, at.Seconds())
			j.lastStartAt = u.cluster.Now // said once
			return
		}
	}
}

// allCapacityCovers reports whether all tasks of a gang find room at once, so many in each zone.
func allCapacityCovers(s *protocol.Job, room map[string]int) bool {
	most, all := 0, 0
	for _, n := range room {
		if s.Spread {
			n = min(n, (s.Tasks+1)/2)
		}
		most, all = max(most, n), all+n
	}
	return most >= s.Tasks || all >= s.Tasks && !s.OneZone
}

// couldStart reports whether a job has a task that may start now, as far as its team and the
// jobs that it needs go.
func (u *Users) couldStart(j *Job) bool {
	s := &j.Spec
	if !j.Accepted || j.Mistaken || j.cancelRequested || u.cancelledDependency(j) != nil || j.Told == protocol.JobDone || j.Told == protocol.JobCancelled {
		return false
	}
	for _, id := range s.Dependencies {
		if x := u.jobs[id]; x != nil && len(x.completed) < x.Spec.Tasks {
			return false
		}
	}
	taken := len(j.completed)
	for _, k := range u.cluster.Workers {
		for _, t := range k.Tasks {
			if t.job == j && !j.completed[t.index] && t.usesCapacity() {
				taken++
			}
		}
	}
	if taken >= s.Tasks {
		return false
	}
	n := 1.0
	if s.Kind == protocol.KindGang {
		n = float64(s.Tasks)
	}
	for _, t := range u.cluster.Set.Site.Teams {
		if t.Name == s.Team && (t.CPUsMax > 0 && u.cpus[s.Team]+n*s.CPUs > t.CPUsMax || t.GPUsMax > 0 && u.gpus[s.Team]+n*s.GPUs > t.GPUsMax) {
			return false
		}
	}
	return true
}

// placeAllows reports whether a job's next task may be in a zone, given its others.
func (u *Users) placeAllows(j *Job, zone string) bool {
	s := &j.Spec
	if s.Zone != "" && s.Zone != zone {
		return false
	}
	here, all := 0, 0
	for _, m := range j.machines {
		if k := u.cluster.Workers[m]; k != nil {
			all++
			if k.Info.Zone == zone {
				here++
			}
		}
	}
	return (!s.OneZone || here == all) && (!s.Spread || here < (s.Tasks+1)/2)
}

// fittingTasks is how many tasks of a job the machine could take now, by its type, kind and room.
func (k *Worker) fittingTasks(s *protocol.Job) int {
	ok := len(s.MachineTypes) == 0
	for _, t := range s.MachineTypes {
		ok = ok || t == k.Info.Type
	}
	if !ok || k.Info.Spot && !s.AllowSpot || k.Hung || k.Faulty || k.hardwareFailed || k.Mute || k.NoticeS != nil {
		return 0
	}
	free := k.free()
	n := int((free.cpus + 1e-9) / s.CPUs)
	if s.GPUs > 0 {
		n = min(n, int((free.gpus+1e-9)/s.GPUs))
	}
	if s.MemoryGB > 0 {
		n = min(n, int((free.memoryGB+1e-9)/s.MemoryGB))
	}
	return n
}
