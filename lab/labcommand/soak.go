package labcommand

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"os"
	"os/exec"
	"os/signal"
	"path/filepath"
	"syscall"
	"time"

	"github.com/juju/errors"

	"github.com/tuliphall/tuliphall/lab/soak"
)

type soakRun struct {
	out     io.Writer
	Binary  string        `long:"binary" value-name:"FILE" description:"tuliphalld; none: it is built"`
	Seed    uint64        `long:"seed" description:"of the first run; 0: drawn"`
	Seeds   int           `long:"seeds" default:"1" description:"runs, each with the next seed"`
	Daemons int           `long:"daemons" default:"8" description:"number of processes"`
	Workers int           `long:"workers" default:"6" description:"number of back ends"`
	Faults  int           `long:"faults" default:"25" description:"faults and planned work of one run"`
	Length  time.Duration `long:"length" default:"40s" description:"time with faults"`
	Rate    int           `long:"rate" default:"150" description:"requests a second"`
	Quiet   bool          `long:"quiet" description:"print only what is broken and the sums"`
}

// maxSoakDaemons bounds the processes of one run.
const maxSoakDaemons = 40

// Execute implements flags.Commander.
func (c *soakRun) Execute([]string) error {
	if c.Daemons < 1 || c.Daemons > maxSoakDaemons {
		return errors.NotValidf("--daemons %d, allowed: 1 to %d; it", c.Daemons, maxSoakDaemons)
	}
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	binary, err := c.binary()
	if err != nil {
		return err
	}
	if c.Seed == 0 {
		c.Seed = rand.Uint64() % 1_000_000
	}
	var failed []uint64
	for number := range c.Seeds {
		if ctx.Err() != nil {
			break
		}
		seed := c.Seed + uint64(number)
		broken, err := c.one(ctx, binary, seed)
		if err != nil {
			return err
		}
		if broken {
			failed = append(failed, seed)
		}
	}
	if len(failed) > 0 {
		return errors.Errorf("seeds with broken promises: %v", failed)
	}
	return nil
}

// one runs one seed. The folder with its logs is kept if a promise was broken.
func (c *soakRun) one(ctx context.Context, binary string, seed uint64) (broken bool, err error) {
	folder, err := os.MkdirTemp("", fmt.Sprintf("soak-%d-", seed))
	if err != nil {
		return false, err
	}
	history, err := os.Create(filepath.Join(folder, "history.log"))
	if err != nil {
		return false, err
	}
	defer history.Close()
	progress := io.Writer(history)
	if !c.Quiet {
		progress = io.MultiWriter(history, c.out)
	}
	result, err := soak.Run(ctx, soak.Options{
		Binary: binary, Directory: folder, Seed: seed, Daemons: c.Daemons, Workers: c.Workers, FaultCount: c.Faults, FaultDuration: c.Length, Rate: c.Rate,
	}, progress)
	if err != nil {
		return false, err
	}
	fmt.Fprintf(c.out, "seed %d: %d violations, %v\n", seed, len(result.Violations), result.Counts)
	if len(result.Violations) == 0 {
		return false, os.RemoveAll(folder)
	}
	fmt.Fprintf(c.out, "logs are kept in %s\n", folder)
	return true, result.PrintViolations(c.out)
}

// binary returns the daemon's binary, built if none was named.
func (c *soakRun) binary() (string, error) {
	if c.Binary != "" {
		return c.Binary, nil
	}
	folder, err := os.MkdirTemp("", "soak-binary-")
	if err != nil {
		return "", err
	}
	path := filepath.Join(folder, "tuliphalld")
	built, err := exec.Command("go", "build", "-o", path, "./cmd/tuliphalld").CombinedOutput()
	return path, errors.Annotatef(err, "building tuliphalld: %s", built)
}
