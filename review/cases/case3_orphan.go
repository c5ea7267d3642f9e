//go:build review

package main

import (
	"fmt"
	"sync"
	"syscall"
	"time"
)

func init() { cases["3"] = playSupervisorKilled }

const orphanKeys = 6

// playSupervisorKilled kills the supervisor of c1, and starts it again as the machine's service manager would.
func playSupervisorKilled(r *rig) (broken []string) {
	engines := &importEngines{rig: r, duration: 500 * time.Millisecond}
	feed, known := r.startFeed(engines.start("e1", "e2"))
	defer feed.Close()
	fleet := r.newFleet(feed, known)
	m := fleet[0]
	supervisor := r.startProcess("supervisor of "+m.name, m.line, m.env...)
	first := m.awaitServing(0)
	r.log("controller %d serves", first.PID)

	stop := make(chan struct{})
	var clients sync.WaitGroup
	writers := &keyWriters{done: map[string]int{}}
	for i := range orphanKeys {
		clients.Go(func() { r.writeKey(m.clients, fmt.Sprintf("K%d", i), stop, writers) })
		time.Sleep(100 * time.Millisecond)
	}
	time.Sleep(3 * time.Second)
	if r.trouble {
		r.log("the supervisor is killed")
		if err := syscall.Kill(supervisor.command.Process.Pid, syscall.SIGKILL); err != nil {
			cannotRun("%v", err)
		}
		<-supervisor.ended
		time.Sleep(time.Second)
		r.startProcess("supervisor of "+m.name+", again", m.line, m.env...)
		next := m.awaitServing(0)
		r.log("the supervisor reports controller %d", next.PID)
		if next.PID != first.PID {
			r.log("controller %d, of the killed supervisor: is alive: %v", first.PID, syscall.Kill(first.PID, 0) == nil)
		}
	}
	time.Sleep(10 * time.Second)
	if r.trouble {
		r.log("controller %d, of the killed supervisor: is alive: %v", first.PID, syscall.Kill(first.PID, 0) == nil)
	}
	close(stop)
	clients.Wait()
	return engines.breaches()
}
