package main

import (
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"syscall"
	"time"
)

// daemonProcess is a process of the project's daemon.
type daemonProcess struct {
	name                             string
	caller, peer, forward, admin     string
	metrics, zone, directory, binary string
	settings                         string
	log                              *os.File
	command                          *exec.Cmd
	ended                            chan struct{} // closed when the process has ended
	endErr                           error         // valid once ended is closed
}

// The ports of daemons and of the store lie below those that the system gives to outgoing connections, so that none of these
// takes a port between the check and its use.
const (
	firstPort = 12000
	lastPort  = 31000
	portTries = 100
)

// freeAddress returns a loopback address with a free port.
func freeAddress() (string, error) {
	var lastErr error
	for range portTries {
		listener, err := net.Listen("tcp", fmt.Sprintf("127.0.0.1:%d", firstPort+rand.IntN(lastPort-firstPort)))
		if err != nil {
			lastErr = err
			continue
		}
		defer func() { _ = listener.Close() }()
		return listener.Addr().String(), nil
	}
	return "", lastErr
}

// newDaemon chooses the addresses of a daemon, whose files lie in directory.
func newDaemon(directory, name, zone string) (*daemonProcess, error) {
	d := &daemonProcess{name: name, zone: zone, directory: directory, binary: "target/tuliphalld"}
	for _, address := range []*string{&d.caller, &d.peer, &d.forward, &d.admin, &d.metrics} {
		free, err := freeAddress()
		if err != nil {
			return nil, err
		}
		*address = free
	}
	return d, nil
}

// settingsText returns what deploy/daemon.toml becomes for the machine of the daemon.
func (d *daemonProcess) settingsText(template, storeAddress string, seeds []string) string {
	quoted := make([]string, 0, len(seeds))
	for _, seed := range seeds {
		quoted = append(quoted, fmt.Sprintf("%q", seed))
	}
	replaced := strings.NewReplacer(
		"{{nodeName}}", d.name, "{{region}}", "kingston", "{{zone}}", d.zone, "{{seeds|json}}", "["+strings.Join(quoted, ", ")+"]",
		"{{#limits.cpuShare}}cores = {{.}}{{/limits.cpuShare}}", "cores = 0.32",
		"{{#zones}}\"{{@}}\" = \"{{.}}\"\n{{/zones}}", "\"kgn-a\" = \"kingston\"\n\"kgn-b\" = \"kingston\"\n\"kgn-c\" = \"kingston\"\n",
		"{{listen.front}}", d.caller, "{{listen.control}}", d.peer, "{{ip}}:{{portRange.0}}", d.forward, "{{listen.ready}}", d.admin, "{{ip}}:9464", d.metrics,
		"{{platform.address}}", storeAddress, "{{#bootstrap}}first_start = true{{/bootstrap}}", "first_start = true",
		"{{#bounds.retryBudgetRatio}}retry_ratio = {{.}}{{/bounds.retryBudgetRatio}}", "retry_ratio = 0.2",
		"{{#bounds.probesPerS}}probes_per_backend = {{.}}{{/bounds.probesPerS}}", "probes_per_backend = 60",
		"{{#bounds.canaryShare}}rollouts = true{{/bounds.canaryShare}}", "",
		"{{#bounds.budgetSlack}}retry_burst = {{.}}{{/bounds.budgetSlack}}", "retry_burst = 64",
		"{{#limits.memoryMb}}[resources]\nmemory_mb = {{.}}{{/limits.memoryMb}}", "[resources]\nmemory_mb = 284",
		"{{#bounds.graceS}}within = \"{{.}}s\"{{/bounds.graceS}}", "within = \"6s\"",
		"{{^bounds.graceS}}sessions = \"3600ms\"{{/bounds.graceS}}", "",
	)
	return replaced.Replace(template)
}

// start writes the settings and starts the process with the command of the deploy file.
func (d *daemonProcess) start(storeAddress string, seeds []string) error {
	template, err := os.ReadFile("deploy/daemon.toml")
	if err != nil {
		return err
	}
	text := d.settingsText(string(template), storeAddress, seeds)
	if strings.Contains(text, "{{") {
		return fmt.Errorf("deploy/daemon.toml has a gap that this stand-in does not fill:\n%s", text)
	}
	d.settings = filepath.Join(d.directory, d.name+".toml")
	if err := os.WriteFile(d.settings, []byte(text), 0o600); err != nil {
		return err
	}
	if d.log, err = os.Create(filepath.Join(d.directory, d.name+".log")); err != nil {
		return err
	}
	return d.launch()
}

// launch starts the process with the settings that were written.
func (d *daemonProcess) launch() error {
	d.command = exec.Command(d.binary)
	d.command.Env = append(os.Environ(), "TULIPHALL_CONFIG="+d.settings)
	d.command.Stdout, d.command.Stderr = d.log, d.log
	d.command.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := d.command.Start(); err != nil {
		return err
	}
	command, ended := d.command, make(chan struct{})
	d.ended = ended
	go func() {
		d.endErr = command.Wait()
		close(ended)
	}()
	return nil
}

// kill ends the process.
func (d *daemonProcess) kill() {
	if d.command == nil || d.command.Process == nil {
		return
	}
	_ = d.command.Process.Kill()
	<-d.ended
}

var readinessClient = &http.Client{Timeout: time.Second}

// ready reports whether the daemon calls itself ready.
func (d *daemonProcess) ready() bool {
	response, err := readinessClient.Get("http://" + d.admin + "/readyz")
	if err != nil {
		return false
	}
	_ = response.Body.Close()
	return response.StatusCode == http.StatusOK
}

// awaitReady blocks until all daemons are ready.
func awaitReady(daemons []*daemonProcess) error {
	deadline := time.Now().Add(20 * time.Second)
	for _, d := range daemons {
		for !d.ready() {
			select {
			case <-d.ended:
				return fmt.Errorf("daemon %s has ended: %w; its last lines: %s", d.name, d.endErr, d.lastLines())
			default:
			}
			if time.Now().After(deadline) {
				return fmt.Errorf("daemon %s does not become ready; its last lines: %s", d.name, d.lastLines())
			}
			time.Sleep(50 * time.Millisecond)
		}
	}
	return nil
}

// lastLines returns the end of the daemon's log.
func (d *daemonProcess) lastLines() string {
	const most = 1000
	data, err := os.ReadFile(d.log.Name())
	if err != nil {
		return err.Error()
	}
	return string(data[max(len(data)-most, 0):])
}
