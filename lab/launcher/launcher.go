// Package launcher starts daemons as processes of their own, for the parts of the lab
// that restart or harm them.
package launcher

import (
	"os"
	"os/exec"
	"path/filepath"

	"github.com/juju/errors"
)

// Start starts the binary of a daemon with settings, which are written to a file in a
// folder. What the daemon logs is added to a file beside it. The caller waits for the
// command's end.
func Start(binary, folder, name, settings string) (*exec.Cmd, error) {
	path := filepath.Join(folder, name+".toml")
	if err := os.WriteFile(path, []byte(settings), 0o600); err != nil {
		return nil, err
	}
	log, err := os.OpenFile(filepath.Join(folder, name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return nil, err
	}
	defer log.Close()
	command := exec.Command(binary, "--settings", path)
	command.Stdout, command.Stderr = log, log
	return command, errors.Annotate(command.Start(), name)
}
