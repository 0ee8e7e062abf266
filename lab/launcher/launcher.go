// Package launcher starts daemons as separate processes, for the parts of the lab that
// restart them or inject faults.
package launcher

import (
	"os"
	"os/exec"
	"path/filepath"
	"strconv"

	"github.com/juju/errors"
)

// Limits are the limits of a daemon's process; 0: those of this process.
type Limits struct {
	Descriptors int
	Processors  int // that the daemon uses at the same time
}

// Start starts the binary of a daemon with a settings file, which it writes to the
// directory as NAME.toml. The output of the daemon is appended to NAME.log in the same
// directory. The caller must wait for the command.
func Start(binary, directory, name, settings string) (*exec.Cmd, error) {
	return StartLimited(binary, directory, name, settings, Limits{})
}

// StartLimited is like Start, and limits the process.
func StartLimited(binary, directory, name, settings string, limits Limits) (*exec.Cmd, error) {
	return start(binary, directory, name, "--settings", settings, limits)
}

// StartStandalone is like StartLimited for a daemon that has everything in one file.
func StartStandalone(binary, directory, name, file string, limits Limits) (*exec.Cmd, error) {
	return start(binary, directory, name, "--standalone", file, limits)
}

func start(binary, directory, name, option, settings string, limits Limits) (*exec.Cmd, error) {
	settingsPath := filepath.Join(directory, name+".toml")
	if err := os.WriteFile(settingsPath, []byte(settings), 0o600); err != nil {
		return nil, err
	}
	logFile, err := os.OpenFile(filepath.Join(directory, name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return nil, err
	}
	defer logFile.Close()
	command := limitedCommand(limits, binary, option, settingsPath)
	command.Stdout, command.Stderr = logFile, logFile
	return command, errors.Annotate(command.Start(), name)
}

func limitedCommand(limits Limits, binary string, arguments ...string) *exec.Cmd {
	command := exec.Command(binary, arguments...)
	if limits.Descriptors > 0 {
		// The shell replaces itself by the daemon, which keeps the process id.
		script := "ulimit -n " + strconv.Itoa(limits.Descriptors) + ` && exec "$0" "$@"`
		command = exec.Command("sh", append([]string{"-c", script, binary}, arguments...)...)
	}
	if limits.Processors > 0 {
		command.Env = append(os.Environ(), "GOMAXPROCS="+strconv.Itoa(limits.Processors))
	}
	return command
}
