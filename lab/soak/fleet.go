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

// Ports of every daemon, on an address of its own.
const (
	portCaller  = "8080"
	portPeer    = "7000"
	portForward = "7001"
	portAdmin   = "9090"
	portStore   = "8000" // its own proxy to the store
)

// Timing of processes.
const (
	startDelay   = 700 * time.Millisecond // until an ended daemon starts again
	graceTime    = 6 * time.Second        // after SIGTERM
	readyTimeout = 20 * time.Second
)

// settingsText is one daemon's settings, as deploy/daemon.toml gives them.
const settingsText = `name = %q
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
retry_burst = 64.0
probes_per_backend = 60.0
[stop]
notice = "2100ms"
within = "6s"
[log]
decisions = true
`

// daemonState is what is meant to become of a process.
type daemonState int

const (
	running daemonState = iota
	stopping
	ended
)

// process is one daemon's place in the fleet. It is safe for concurrent use.
type process struct {
	name    string
	address string
	folder  string
	binary  string
	peers   []string
	store   *proxy
	report  *report
	// restarting is held from the end of one life to the start of the next.
	restarting sync.Mutex

	mutex   sync.Mutex
	command *exec.Cmd
	state   daemonState
	exited  chan struct{}
	life    int
	served  int // highest route of this life that was served
	ready   bool
	misses  int
}

func (p *process) at(port string) string { return p.address + ":" + port }

// currentLife names the present life of the daemon.
func (p *process) currentLife() string {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	return fmt.Sprintf("%s life %d", p.name, p.life)
}

// start starts the daemon once its earlier life is over: two faults may end it, and the one that starts it again need not be
// the one that waited. It does not wait until the daemon is ready.
func (p *process) start() error {
	if exited := p.end(); exited != nil {
		<-exited
	}
	p.mutex.Lock()
	defer p.mutex.Unlock()
	var peers []string
	for _, peer := range p.peers {
		peers = append(peers, fmt.Sprintf("%q", peer))
	}
	text := fmt.Sprintf(settingsText, p.name, strings.Join(peers, ", "), p.at(portCaller), p.at(portPeer), p.at(portForward), p.at(portAdmin), p.at(portStore))
	command, err := launcher.Start(p.binary, p.folder, p.name, text)
	if err != nil {
		return err
	}
	p.command, p.state, p.exited, p.served = command, running, make(chan struct{}), 0
	p.life++
	go p.await(command, p.exited)
	return nil
}

// await notes the end of a process.
func (p *process) await(command *exec.Cmd, exited chan struct{}) {
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
		p.report.violated("FAULT: %s ended by itself: %v", p.name, err)
	case state == stopping && err != nil && p.report.calmFor() > settleTime:
		p.report.violated("LOST: %s did not end cleanly: %v", p.name, err)
	}
}

// signal sends a signal to the process, and says whether it runs.
func (p *process) signal(signal syscall.Signal, next daemonState) bool {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	if p.state == ended {
		return false
	}
	p.state = max(p.state, next)
	return p.command.Process.Signal(signal) == nil
}

// stop ends the daemon as planned and waits for that; what is left after the grace
// time is killed, as the platform does.
func (p *process) stop() {
	if !p.signal(syscall.SIGTERM, stopping) {
		return
	}
	select {
	case <-p.end():
	case <-time.After(graceTime):
		p.report.count("killed after the grace time")
		p.kill()
	}
}

// kill ends the daemon at once and waits for that.
func (p *process) kill() {
	if !p.signal(syscall.SIGKILL, ended) {
		return
	}
	<-p.end()
}

// end returns what is closed when the present life is over.
func (p *process) end() chan struct{} {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	return p.exited
}

// isStopping says whether the daemon was told to stop.
func (p *process) isStopping() bool {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	return p.state == stopping
}

// balance asks the daemon whether it is ready, as the platform's balancer does each
// second, and takes it out after two misses.
func (p *process) balance(client *http.Client) {
	response, err := client.Get("http://" + p.at(portAdmin) + "/readyz")
	well := err == nil && response.StatusCode == http.StatusOK
	if err == nil {
		response.Body.Close()
	}
	p.mutex.Lock()
	defer p.mutex.Unlock()
	if well {
		p.ready, p.misses = true, 0
		return
	}
	if p.misses++; p.misses >= 2 {
		p.ready = false
	}
}

// isReady says whether callers are sent to the daemon.
func (p *process) isReady() bool {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	return p.ready
}

// awaitReady waits until callers are sent to all of the processes.
func awaitReady(ctx context.Context, processes []*process) error {
	deadline := time.Now().Add(readyTimeout)
	for _, one := range processes {
		for !one.isReady() {
			if time.Now().After(deadline) || ctx.Err() != nil {
				return errors.Timeoutf("%s", one.name)
			}
			time.Sleep(50 * time.Millisecond)
		}
	}
	return nil
}
