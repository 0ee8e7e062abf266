package soak

import (
	"context"
	"fmt"
	"net/http"
	"os/exec"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/juju/errors"

	"github.com/tuliphall/tuliphall/lab/launcher"
)

// Ports of every daemon; each daemon has its own loopback address.
const (
	portCaller  = "8080"
	portPeer    = "7000"
	portForward = "7001"
	portAdmin   = "9090"
	portStore   = "8000" // the daemon's proxy to the store
)

// Timing of daemon processes.
const (
	restartDelay = 700 * time.Millisecond // from the end of a daemon to its restart
	stopTimeout  = 6 * time.Second        // from SIGTERM to SIGKILL
	readyTimeout = 20 * time.Second
)

// settingsTemplate is the settings file of one daemon, with the values of deploy/daemon.toml and the
// settings for refusals.
const settingsTemplate = `name = %q
region = "region-1"
zone = "zone-a"
peers = [%s]
[listen]
caller = %q
peer = %q
forward = %q
admin = %q
[platform]
address = "http://%s"
protocol = "objects"
timeout = "1s"
max_backoff = "1s"
watchers = 8
watch_interval = "700ms"
watch_gap = "700ms"
connections = 8
retry_ratio = 0.2
late_requests = "wait"
honor_returns = true
detect_silent_full = true
retry_burst = 64.0
probes_per_backend = 60.0
[stop]
notice = "2100ms"
within = "6s"
[log]
decisions = true
`

// daemonState is the intended state of a daemon process.
type daemonState int

const (
	running daemonState = iota
	stopping
	ended
)

// process is one daemon of the fleet, across its restarts. It is safe for concurrent use.
type process struct {
	name       string
	address    string
	directory  string
	binary     string
	peers      []string
	storeProxy *proxy
	report     *report
	// restarting is held from the stop of one incarnation to the start of the next.
	restarting sync.Mutex

	mutex              sync.Mutex
	command            *exec.Cmd
	state              daemonState
	exited             chan struct{}
	incarnation        int
	highestServedRoute int // newest route that this incarnation has served
	ready              bool
	failedChecks       int
}

func (p *process) addr(port string) string { return p.address + ":" + port }

// incarnationName names the current incarnation of the daemon.
func (p *process) incarnationName() string {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	return fmt.Sprintf("%s incarnation %d", p.name, p.incarnation)
}

// start starts the daemon after its earlier incarnation has exited. Two overlapping faults may stop the
// daemon, and the one that restarts it need not be the one that waited for its exit. start does not wait
// until the daemon is ready.
func (p *process) start() error {
	if exited := p.exitedChannel(); exited != nil {
		<-exited
	}
	p.mutex.Lock()
	defer p.mutex.Unlock()
	var peers []string
	for _, peer := range p.peers {
		peers = append(peers, fmt.Sprintf("%q", peer))
	}
	settings := fmt.Sprintf(settingsTemplate, p.name, strings.Join(peers, ", "), p.addr(portCaller), p.addr(portPeer), p.addr(portForward), p.addr(portAdmin), p.addr(portStore))
	command, err := launcher.Start(p.binary, p.directory, p.name, settings)
	if err != nil {
		return err
	}
	p.command, p.state, p.exited, p.highestServedRoute = command, running, make(chan struct{}), 0
	p.incarnation++
	go p.waitForExit(command, p.exited)
	return nil
}

// waitForExit waits for the process to exit, and adds a violation if it exited unexpectedly or with an
// error.
func (p *process) waitForExit(command *exec.Cmd, exited chan struct{}) {
	err := command.Wait()
	p.mutex.Lock()
	state := p.state
	p.state = ended
	p.mutex.Unlock()
	close(exited)
	p.report.mutex.Lock()
	defer p.report.mutex.Unlock()
	switch {
	case state == running:
		p.report.addViolation("FAULT: %s exited unexpectedly: %v", p.name, err)
	case state == stopping && err != nil && p.report.faultFreeFor() > settleTime:
		p.report.addViolation("LOST: %s did not shut down cleanly: %v", p.name, err)
	}
}

// signal sends a signal to the process, and reports whether the process was running and got it.
func (p *process) signal(signal syscall.Signal, next daemonState) bool {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	if p.state == ended {
		return false
	}
	p.state = max(p.state, next)
	return p.command.Process.Signal(signal) == nil
}

// stop shuts the daemon down with SIGTERM and waits for its exit. After stopTimeout it
// kills the process, as the platform does.
func (p *process) stop() {
	if !p.signal(syscall.SIGTERM, stopping) {
		return
	}
	select {
	case <-p.exitedChannel():
	case <-time.After(stopTimeout):
		p.report.count("killed after the grace time")
		p.kill()
	}
}

// kill ends the daemon with SIGKILL and waits for its exit.
func (p *process) kill() {
	if !p.signal(syscall.SIGKILL, ended) {
		return
	}
	<-p.exitedChannel()
}

// exitedChannel returns a channel that is closed when the current incarnation has exited.
func (p *process) exitedChannel() chan struct{} {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	return p.exited
}

// isStopping reports whether the daemon was told to stop and has not exited yet.
func (p *process) isStopping() bool {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	return p.state == stopping
}

// checkReady performs one readiness check, as the platform's balancer does each second.
// After two failed checks in a row the daemon gets no more callers.
func (p *process) checkReady(client *http.Client) {
	response, err := client.Get("http://" + p.addr(portAdmin) + "/readyz")
	ok := err == nil && response.StatusCode == http.StatusOK
	if err == nil {
		response.Body.Close()
	}
	p.mutex.Lock()
	defer p.mutex.Unlock()
	if ok {
		p.ready, p.failedChecks = true, 0
		return
	}
	if p.failedChecks++; p.failedChecks >= 2 {
		p.ready = false
	}
}

// isReady reports whether the balancer sends callers to the daemon.
func (p *process) isReady() bool {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	return p.ready
}

// waitUntilReady waits until all processes are ready for callers.
func waitUntilReady(ctx context.Context, processes []*process) error {
	deadline := time.Now().Add(readyTimeout)
	for _, daemon := range processes {
		for !daemon.isReady() {
			if time.Now().After(deadline) || ctx.Err() != nil {
				return errors.Timeoutf("readiness of %s", daemon.name)
			}
			time.Sleep(50 * time.Millisecond)
		}
	}
	return nil
}
