// Command standin-2 plays the scripted cases of the second review: it starts the project's daemons as processes, is their
// platform, workers and clients, and checks one rule.
package main

import (
	"fmt"
	"os"
	"os/signal"
	"runtime"
	"syscall"
	"time"
)

// Exit codes of a case.
const (
	exitHeld    = 0
	exitBroken  = 1
	exitNotRun  = 2
	usageFormat = "usage: %s CASE RECORD\n"
)

// maxDuration is the time after which a case is given up.
const maxDuration = 110 * time.Second

// result is what a case has found.
type result struct {
	broken  bool
	finding string
}

// playCase plays a case, with its disruption if trouble is set.
type playCase func(s *site, trouble bool) (result, error)

var cases = map[string]playCase{
	"ready-address": playReadyAddress,
	"readers-ahead": playReadersAhead,
	"foreign-bytes": playForeignBytes,
	"split-weights": playSplitWeights,
	"early-close":   playEarlyClose,
}

func main() {
	// The daemons end with the thread that has started them, see launch.
	runtime.LockOSThread()
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintf(os.Stderr, usageFormat, os.Args[0])
		os.Exit(exitNotRun)
	}
	os.Exit(play(cases[os.Args[1]], os.Args[2], os.Getenv("TROUBLE") != "0"))
}

// play plays a case and returns the exit code.
func play(chosen playCase, recordPath string, trouble bool) int {
	r, err := newRecord(recordPath)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	defer r.close()
	s, err := newSite(r)
	if err != nil {
		r.add("not run: %v", err)
		return exitNotRun
	}
	defer s.close()
	giveUp(s, r)
	found, err := chosen(s, trouble)
	switch {
	case err != nil:
		r.add("not run: %v", err)
		fmt.Println("not run:", err)
		return exitNotRun
	case found.broken:
		r.add("rule broken: %s", found.finding)
		fmt.Println("rule broken:", found.finding)
		return exitBroken
	}
	r.add("rule held: %s", found.finding)
	fmt.Println("rule held:", found.finding)
	return exitHeld
}

// giveUp ends the case when it is interrupted or takes too long.
func giveUp(s *site, r *record) {
	interrupted := make(chan os.Signal, 1)
	signal.Notify(interrupted, os.Interrupt, syscall.SIGTERM)
	go func() {
		select {
		case <-interrupted:
		case <-time.After(maxDuration):
		}
		r.add("not run: given up")
		s.close()
		os.Exit(exitNotRun)
	}()
}
