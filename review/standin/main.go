// Command standin plays the cases of the review with the project's own daemons as processes. It holds the
// stand-ins of the platform's store, of workers, of clients and of the network between them.
//
//	standin CASE ROOT RECORD
//
// It exits with 1 if the rule was broken, 0 if it held, and 2 if the case could not run. With TROUBLE=0 it
// leaves the disruption out.
package main

import (
	"fmt"
	"os"
	"os/signal"
	"sync"
	"syscall"
	"time"
)

// Exit codes.
const (
	exitHeld   = 0
	exitBroken = 1
	exitUnable = 2
)

// record writes what was sent, answered and run.
type recordFile struct {
	mutex   sync.Mutex
	file    *os.File
	started time.Time
}

func (r *recordFile) printf(format string, arguments ...any) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	fmt.Fprintf(r.file, "%9.3f  %s\n", time.Since(r.started).Seconds(), fmt.Sprintf(format, arguments...))
}

var (
	record  *recordFile
	current *fleet
	trouble = os.Getenv("TROUBLE") != "0"
)

// must ends the run if the case cannot be played.
func must(err error) {
	if err != nil {
		unable(err.Error())
	}
}

func unable(cause string) {
	fmt.Fprintln(os.Stderr, "the case could not run:", cause)
	finish(exitUnable)
}

// finish ends all processes and the run.
func finish(code int) {
	if current != nil {
		current.stop(os.Getenv("KEEP") != "")
	}
	if record != nil {
		record.printf("exit code %d", code)
		record.file.Close()
	}
	os.Exit(code)
}

// conclude reports the outcome and ends the run.
func conclude(broken bool, format string, arguments ...any) {
	verdict, code := "held: ", exitHeld
	if broken {
		verdict, code = "broken: ", exitBroken
	}
	text := verdict + fmt.Sprintf(format, arguments...)
	record.printf("%s", text)
	fmt.Println(text)
	finish(code)
}

func main() {
	if len(os.Args) != 4 {
		fmt.Fprintln(os.Stderr, "usage: standin CASE ROOT RECORD")
		os.Exit(exitUnable)
	}
	file, err := os.Create(os.Args[3])
	must(err)
	record = &recordFile{file: file, started: time.Now()}
	record.printf("case %s, trouble %v, seconds since the start of the script", os.Args[1], trouble)
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, os.Interrupt, syscall.SIGTERM)
	go func() {
		<-signals
		finish(exitUnable)
	}()
	time.AfterFunc(115*time.Second, func() { unable("it took too long") })
	cases := map[string]func(root string){"early-answer": playEarlyAnswer, "stalled-answer": playStalledAnswer, "deadly-in-chunks": playDeadly}
	play, known := cases[os.Args[1]]
	if !known {
		unable("no case " + os.Args[1])
	}
	play(os.Args[2])
}
