package stand

import (
	"os/exec"
	"runtime"
	"sync"
)

type startRequest struct {
	cmd    *exec.Cmd
	result chan error
}

var (
	starterOnce sync.Once
	starts      = make(chan startRequest)
)

// serveStarts starts commands on one thread that is never given up.
func serveStarts() {
	runtime.LockOSThread()
	for request := range starts {
		request.result <- request.cmd.Start()
	}
}
