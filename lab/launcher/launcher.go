// Package launcher starts daemons as separate processes, for the parts of the lab that
// restart them or inject faults.
package launcher

import (
	"os"
	"os/exec"
	"path/filepath"

	"github.com/juju/errors"
)

// Start starts the binary of a daemon with a settings file, which it writes to the
// directory as NAME.toml. The output of the daemon is appended to NAME.log in the same
// directory. The caller must wait for the command.
func Start(binary, directory, name, settings string) (*exec.Cmd, error) {
	settingsPath := filepath.Join(directory, name+".toml")
	if err := os.WriteFile(settingsPath, []byte(settings), 0o600); err != nil {
		return nil, err
	}
	logFile, err := os.OpenFile(filepath.Join(directory, name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return nil, err
	}
	defer logFile.Close()
	command := exec.Command(binary, "--settings", settingsPath)
	command.Stdout, command.Stderr = logFile, logFile
	return command, errors.Annotate(command.Start(), name)
}
