package main

import (
	"fmt"
	"os"
	"os/exec"
	"strconv"
	"strings"
	"time"

	"swiftreel/internal/proof"
)

// This file measures the cost of a leader by the number of listeners. The three voters are separate processes (this
// program, with the real packages). Listeners are supervisor handlers in this process, with the real fence. The cost is
// compared with that of a file that every member polls.

const (
	costDuration   = 4 * time.Second // length of the measurement, after the first assignments
	maxLeaderCores = 0.5             // up to 300 listeners, the largest of listenerCounts
	minAssignments = 0.5             // per listener and second
	costTimeout    = 20 * time.Second
	costInterval   = 50 * time.Millisecond
)

var listenerCounts = []int{5, 50, 300}

// leadingCost is what a leader uses and sends, per second.
type leadingCost struct {
	cores       float64
	bytes       float64 // sent to and received from listeners
	assignments float64 // per listener
}

// proveCosts measures the cost of a leader for each of listenerCounts.
func proveCosts(report *proof.Report) {
	for _, count := range listenerCounts {
		cost, err := measureLeading(count)
		if err != nil {
			report.Failf("costs: %v", err)
			return
		}
		pollingCores, err := measurePolling(count)
		if err != nil {
			report.Failf("costs: %v", err)
			return
		}
		fmt.Print(costLine(count, cost, pollingCores))
		if cost.cores > maxLeaderCores || cost.assignments < minAssignments {
			report.Failf("over %.0f%% of a core, or words do not arrive", 100*maxLeaderCores)
		}
	}
}

func costLine(count int, cost leadingCost, pollingCores float64) string {
	return fmt.Sprintf("an owner of %3d listeners, parts handed out each second: %5.1f ms CPU a second, "+
		"%6.1f kB a second to and from listeners, %.2f words a listener and second; "+
		"polling one file, all %d: %.1f ms CPU a second\n",
		count, 1000*cost.cores, cost.bytes/1e3, cost.assignments, count, 1000*pollingCores)
}

// measureLeading measures the cost of a leader with count listeners.
func measureLeading(count int) (leadingCost, error) {
	fleet, err := startCostFleet(count)
	if err != nil {
		return leadingCost{}, err
	}
	defer fleet.close()
	leaderPID, err := fleet.awaitLeader()
	if err != nil {
		return leadingCost{}, err
	}
	if err := fleet.awaitAssignments(2 * count); err != nil {
		return leadingCost{}, err
	}
	cpuBefore := cpuSeconds(leaderPID)
	bytesBefore := fleet.bytes.Load()
	assignmentsBefore := fleet.assignmentCount()
	startedAt := time.Now()
	time.Sleep(costDuration)
	seconds := time.Since(startedAt).Seconds()
	return leadingCost{
		cores:       (cpuSeconds(leaderPID) - cpuBefore) / seconds,
		bytes:       float64(fleet.bytes.Load()-bytesBefore) / seconds,
		assignments: float64(fleet.assignmentCount()-assignmentsBefore) / seconds / float64(count),
	}, nil
}

// cpuSeconds returns the CPU time of a process so far, in steps of a hundredth of a second, or 0 if it is unknown.
func cpuSeconds(pid int) float64 {
	const userField, systemField, ticksPerSecond = 11, 12, 100 // field indexes after the command name in /proc/PID/stat
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", pid))
	if err != nil {
		return 0
	}
	_, statistics, _ := strings.Cut(string(text), ") ")
	fields := strings.Fields(statistics)
	if len(fields) <= systemField {
		return 0
	}
	user, userErr := strconv.ParseFloat(fields[userField], 64)
	system, systemErr := strconv.ParseFloat(fields[systemField], 64)
	if userErr != nil || systemErr != nil {
		return 0
	}
	return (user + system) / ticksPerSecond
}

// measurePolling returns how many cores count pollers use in total.
func measurePolling(count int) (float64, error) {
	executable, err := os.Executable()
	if err != nil {
		return 0, err
	}
	text, err := exec.Command(executable, "-as", rolePoll, "-file", strconv.Itoa(count)).Output()
	if err != nil {
		return 0, err
	}
	return strconv.ParseFloat(strings.TrimSpace(string(text)), 64)
}
