package main

import "time"

func init() { cases["5"] = addressReused }

// addressReused takes back a spot machine without a notice while a user's work has another machine
// rented, of another type. With the trouble, the new machine gets the address of the old one.
func addressReused(r *run) {
	settings := valparaiso()
	settings.initialMachine = []placedMachine{{"cordillera", "santiago", false}, {"pacifico", "santiago", false}}
	s := newSite(r, settings)
	defer s.stop()
	s.cloud.boot = 1500 * time.Millisecond
	s.cloud.addRunning(placedMachine{"cordillera", "valparaiso", true})
	s.cloud.limit("cordillera", "valparaiso", true, 1)
	s.cloud.limit("cordillera", "valparaiso", false, 0)
	time.Sleep(3 * time.Second)
	small := func() *job {
		j := newJob("mesaordenes")
		j.types, j.zone, j.runS, j.guessS = []string{"cordillera"}, "valparaiso", 3, 3
		return j
	}
	// One job runs first, so that the machine is registered and has the image.
	warm := small()
	warm.tasks = 20
	if !s.submit(warm) || !s.follow(warm, 500*time.Millisecond, 40*time.Second) {
		giveUp("the first job did not end")
	}
	var taken *worker
	for _, m := range s.cloud.running() {
		if m.spot && m.typ.name == "cordillera" && m.zone == "valparaiso" {
			taken = m
		}
	}
	if taken == nil {
		giveUp("no spot machine ran the first job")
	}
	large := newJob("mesaordenes")
	large.types, large.zone, large.tasks, large.runS, large.guessS = []string{"pacifico"}, "valparaiso", 40, 30, 30
	s.cloud.takeBack(taken, r.trouble)
	if !s.submit(large) {
		giveUp("the large job was not accepted")
	}
	time.Sleep(4 * time.Second)
	var jobs []*job
	for end := time.Now().Add(11 * time.Second); time.Now().Before(end); time.Sleep(150 * time.Millisecond) {
		j := small()
		jobs = append(jobs, j)
		go s.submit(j)
	}
	time.Sleep(15 * time.Second)
	for _, j := range jobs {
		s.poll(j, s.healthy())
	}
}
