package main

import (
	"time"

	"github.com/chalkhub/chalkhub/internal/protocol"
)

func init() { cases["5"] = guestLeftWaiting }

// leftWaiting is the time for which no job may wait while a machine that fits has room.
const leftWaiting = 90 * time.Second

// guestLeftWaiting has a guest team's job wait beside a machine with room. With the trouble, jobs of a
// team with a guarantee come several times as often; that team is at its limit, which leaves half of
// the machine free.
func guestLeftWaiting(r *run) {
	settings := valparaiso()
	settings.teams = []team{{Name: "mesaordenes", CPUs: 16, CPUsMax: 32}, {Name: "tesoreria"}}
	settings.initialMachine = []placedMachine{{"pacifico", "valparaiso", false}}
	s := newSite(r, settings)
	defer s.stop()
	for _, zone := range settings.zones { // the cloud has no other machine to give
		for _, t := range settings.types {
			s.cloud.limit(t.name, zone, true, 0)
			s.cloud.limit(t.name, zone, false, 0)
		}
	}
	reports := func(tasks int) *job {
		j := newJob("mesaordenes")
		j.class, j.urgency, j.tasks, j.cpus, j.memoryGB = "dailyreports", "idle", tasks, 4, 7.8
		j.guessS, j.bookmarkS, j.stashS, j.runOf = 50, 15, 6, map[int]float64{}
		for i := range tasks { // 20 to 79 s, so that a task ends every few seconds
			j.runOf[i] = float64(20 + i*13%60)
		}
		if !s.submit(j) {
			giveUp("a job was not accepted")
		}
		return j
	}
	usual := reports(14)
	if r.trouble {
		for range 4 {
			reports(80)
		}
	}
	if !eventually(20*time.Second, func() bool { return s.check.usedBy(usual.team) >= 30 }) {
		giveUp("the team's work did not start")
	}
	guest := newJob("tesoreria")
	guest.class, guest.urgency, guest.cpus, guest.memoryGB, guest.runS, guest.guessS = "riskgrid", "idle", 16, 16, 10, 10
	if !s.submit(guest) {
		giveUp("the guest's job was not accepted")
	}
	machine := s.cloud.running()[0]
	roomSince, asked := time.Now(), time.Now()
	for !s.check.hasBegun(protocol.TaskName(guest.id, 0)) {
		if machine.isRemoved() {
			giveUp("the machine was returned")
		}
		if free := machine.freeCPUs(); free < guest.cpus {
			r.log("only %.0f CPUs of %s are free", free, machine.name)
			roomSince = time.Now()
		}
		if time.Since(asked) > 5*time.Second {
			asked = time.Now()
			s.poll(guest, s.healthy())
			r.log("%.0f of %.0f CPUs of %s are free, the team %s uses %.0f", machine.freeCPUs(), machine.typ.cpus, machine.name, usual.team, s.check.usedBy(usual.team))
		}
		if time.Since(roomSince) > leftWaiting {
			r.violate("left_waiting", "%s waits, and %s has had room for its task for %.0f s", guest.id, machine.name, time.Since(roomSince).Seconds())
			return
		}
		time.Sleep(50 * time.Millisecond)
	}
	r.log("the guest's task began after %.1f s beside room", time.Since(roomSince).Seconds())
}
