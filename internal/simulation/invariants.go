package simulation

import (
	"fmt"
	"time"

	"github.com/chalkhub/chalkhub/internal/config"
	"github.com/chalkhub/chalkhub/internal/protocol"
)

func (w *World) recordViolation(rule, format string, args ...any) {
	w.Broken = append(w.Broken, fmt.Sprintf("%.3f %s: %s", w.Now.Seconds(), rule, fmt.Sprintf(format, args...)))
}

// maxUnansweredWait is how long a job may go without an answer to any question about it once all
// troubles are over.
const maxUnansweredWait = 75 * time.Second

// observe takes what a node says of a job in answer to a question that left at that time. It is
// older than it may be if the question left after a newer word had come, whichever node said
// that; done and cancelled exclude one another whenever they were asked for.
func (u *Users) observe(j *Job, a protocol.JobResponse, sent time.Duration) {
	j.answeredAt = u.cluster.Now
	final := func(s string) bool { return s == protocol.JobDone || s == protocol.JobCancelled }
	if final(j.Told) && a.State != j.Told && (final(a.State) || sent > j.finalAt) {
		u.cluster.recordViolation("went_back", "%s was %s at %.3f and is called %s, asked at %.3f", j.Spec.ID, j.Told, j.finalAt.Seconds(), a.State, sent.Seconds())
	}
	before := u.cancelledDependency(j)
	if over := config.Seconds(u.cluster.Set.Site.Workers.CancelS); before != nil && before.Cancelled > 0 && sent > before.Cancelled+over && !final(a.State) {
		u.cluster.recordViolation("orphaned", "%s is called %s long after %s was cancelled", j.Spec.ID, a.State, before.Spec.ID)
	}
	if a.State == protocol.JobCancelled && !j.cancelRequested && before == nil {
		u.cluster.recordViolation("went_back", "%s is called cancelled, nobody cancelled it or one that it needs", j.Spec.ID)
	}
	if a.State == protocol.JobDone && len(j.completed) < j.Spec.Tasks {
		u.cluster.recordViolation("not_done", "%s is called done with %d of %d tasks", j.Spec.ID, len(j.completed), j.Spec.Tasks)
	}
	if final(j.Told) {
		if a.State == j.Told {
			j.Answer = a
		}
		return // the first such word is the one that counts
	}
	if a.State == protocol.JobCancelled {
		j.Cancelled = u.cluster.Now
		u.cluster.After(config.Seconds(u.cluster.Set.Site.Workers.CancelS), func() {
			for task, m := range j.machines { // hung machines too: they may resume
				u.cluster.recordViolation("ran_cancelled", "%s is still on %s", task, m)
			}
		})
	}
	j.Told, j.Answer = a.State, a
	if final(a.State) {
		j.finalAt = u.cluster.Now
		u.readEverywhereIfEnabled(j)
	}
}

// cancelledDependency is a job that this one needs, directly or through others, and whose user
// has asked to cancel it: one whose user was told so, if there is one. One that was done
// all the same does not count.
func (u *Users) cancelledDependency(j *Job) (found *Job) {
	seen := map[string]bool{}
	for todo := append([]string(nil), j.Spec.Dependencies...); len(todo) > 0; {
		id := todo[len(todo)-1]
		todo = todo[:len(todo)-1]
		x := u.jobs[id]
		if seen[id] || x == nil || x.Told == protocol.JobDone {
			continue
		}
		seen[id] = true
		todo = append(todo, x.Spec.Dependencies...)
		if x.cancelRequested && (found == nil || found.Cancelled == 0) {
			found = x
		}
	}
	return found
}

// taskStarted and left follow the tasks on their machines.
func (u *Users) taskStarted(k *Worker, t *Task) {
	j := t.job
	if m, ok := j.machines[t.Name]; ok {
		u.cluster.recordViolation("ran_twice", "%s starts on %s while it is on %s", t.Name, k.Info.Name, m)
	}
	if j.Cancelled > 0 && u.cluster.Now > j.Cancelled+config.Seconds(u.cluster.Set.Site.Workers.CancelS) {
		u.cluster.recordViolation("ran_cancelled", "%s starts", t.Name)
	}
	for _, id := range j.Spec.Dependencies {
		if x := u.jobs[id]; x != nil && len(x.completed) < x.Spec.Tasks {
			u.cluster.recordViolation("too_early", "%s starts while %s has %d of %d tasks done", t.Name, id, len(x.completed), x.Spec.Tasks)
		}
	}
	if _, ok := j.machines[t.Name]; !ok {
		u.addUsage(j, 1)
	}
	u.Starts++
	if j.completed[t.index] {
		u.Again++
	}
	j.machines[t.Name] = k.Info.Name
	u.checkPlace(k, t)
	u.checkQuota(j.Spec.Team)
}

func (u *Users) taskLeft(k *Worker, t *Task) {
	if t.job != nil && t.occupiesMachine() && t.job.machines[t.Name] == k.Info.Name {
		delete(t.job.machines, t.Name)
		u.addUsage(t.job, -1)
	}
}

func (u *Users) addUsage(j *Job, n int) {
	u.runningTasks += n
	u.cpus[j.Spec.Team] += float64(n) * j.Spec.CPUs
	u.gpus[j.Spec.Team] += float64(n) * j.Spec.GPUs
}

func (u *Users) checkPlace(k *Worker, t *Task) {
	s := &t.job.Spec
	bad := s.Zone != "" && s.Zone != k.Info.Zone || k.Info.Spot && !s.AllowSpot
	if len(s.MachineTypes) > 0 {
		ok := false
		for _, x := range s.MachineTypes {
			ok = ok || x == k.Info.Type
		}
		bad = bad || !ok
	}
	zones := map[string]int{}
	if s.OneZone || s.Spread {
		for _, m := range t.job.machines {
			if w := u.cluster.Workers[m]; w != nil {
				zones[w.Info.Zone]++
			}
		}
	}
	bad = bad || s.OneZone && len(zones) > 1 || s.Spread && zones[k.Info.Zone] > (s.Tasks+1)/2
	if bad {
		u.cluster.recordViolation("wrong_place", "%s on %s (%s, %s, spot %v)", t.Name, k.Info.Name, k.Info.Type, k.Info.Zone, k.Info.Spot)
	}
}

func (u *Users) checkQuota(team string) {
	cpus, gpus := u.cpus[team], u.gpus[team]
	for _, t := range u.cluster.Set.Site.Teams {
		if t.Name == team && t.CPUsMax > 0 && cpus > t.CPUsMax+1e-6 {
			u.cluster.recordViolation("quota", "team %s uses %g of %g CPUs", team, cpus, t.CPUsMax)
		}
		if t.Name == team && t.GPUsMax > 0 && gpus > t.GPUsMax+1e-6 {
			u.cluster.recordViolation("quota", "team %s uses %g of %g GPUs", team, gpus, t.GPUsMax)
		}
	}
}
