// Package launch implements the daemon's command line: it reads flags and settings,
// starts the daemon, and stops it on a signal.
package launch

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"runtime/debug"
	"syscall"

	"github.com/jessevdk/go-flags"
	"github.com/juju/errors"

	"github.com/tuliphall/tuliphall/clock"
	"github.com/tuliphall/tuliphall/daemon"
	"github.com/tuliphall/tuliphall/platform"
	"github.com/tuliphall/tuliphall/settings"
	"github.com/tuliphall/tuliphall/standalone"
)

// Exit codes; see docs/operations/running.md.
const (
	exitOK       = 0
	exitFailed   = 1
	exitSettings = 2
)

type options struct {
	Settings    string `long:"settings" short:"s" env:"TULIPHALL_CONFIG" value-name:"FILE" description:"settings file (TOML)"`
	Standalone  string `long:"standalone" value-name:"FILE" description:"serve the services in one file, without a platform"`
	CheckConfig bool   `long:"check-config" description:"check the file and exit"`
	LogLevel    string `long:"log-level" description:"override log.level: debug, info, warn or error"`
	LogFormat   string `long:"log-format" description:"override log.format: text or json"`
	Version     bool   `long:"version" description:"print the version and exit"`
}

// Run runs the daemon's command line until the daemon has stopped, and returns
// the exit code.
func Run(arguments []string) int {
	var flagValues options
	parser := flags.NewParser(&flagValues, flags.Default)
	positional, err := parser.ParseArgs(arguments)
	if flags.WroteHelp(err) {
		return exitOK
	}
	if err != nil {
		return exitSettings // the parser has already printed the error
	}
	if flagValues.Version {
		fmt.Println("tuliphalld", daemon.Version)
		return exitOK
	}
	built, err := build(flagValues, positional)
	if err != nil {
		fmt.Fprintln(os.Stderr, "tuliphalld:", err)
		return exitSettings
	}
	if flagValues.CheckConfig {
		fmt.Println("configuration is valid")
		return exitOK
	}
	if err := serve(flagValues, built); err != nil {
		fmt.Fprintln(os.Stderr, "tuliphalld:", err)
		return exitFailed
	}
	return exitOK
}

// build checks the arguments and loads the specified file.
func build(flagValues options, positional []string) (daemon.Options, error) {
	if len(positional) > 0 {
		return daemon.Options{}, errors.NotValidf("argument %q", positional[0])
	}
	if (flagValues.Settings == "") == (flagValues.Standalone == "") {
		return daemon.Options{}, errors.New("give either --settings FILE or --standalone FILE")
	}
	return load(flagValues)
}

// load reads and validates the specified file, and applies the flags that override it.
func load(flagValues options) (daemon.Options, error) {
	var built daemon.Options
	var err error
	if flagValues.Standalone != "" {
		built, err = standalone.Load(flagValues.Standalone)
	} else {
		built, err = fromSettings(flagValues.Settings)
	}
	if err != nil {
		return daemon.Options{}, err
	}
	if flagValues.LogLevel != "" {
		built.Settings.Log.Level = flagValues.LogLevel
	}
	if flagValues.LogFormat != "" {
		built.Settings.Log.Format = flagValues.LogFormat
	}
	built.LogOutput, built.Now = os.Stdout, clock.Boot
	return built, errors.Annotate(built.Settings.Validate(), "flags")
}

func fromSettings(path string) (daemon.Options, error) {
	loaded, err := settings.Load(path)
	if err != nil {
		return daemon.Options{}, err
	}
	if loaded.Platform.Address == "" {
		return daemon.Options{}, errors.Annotate(&settings.SettingError{Key: "platform.address", Value: "", Allowed: "http://IP:port"}, path)
	}
	built := daemon.Options{Settings: loaded}
	if loaded.Platform.Protocol == settings.ProtocolObjects {
		usePlatform(&built)
	}
	return built, nil
}

// usePlatform configures a daemon for a platform that declares services and lists back
// ends itself.
func usePlatform(built *daemon.Options) {
	options := built.Settings.Platform
	store := platform.New(platform.Options{
		Address: options.Address, Direct: options.Direct, MaxConnections: options.Connections,
		RetryRatio: options.RetryRatio, RetryBurst: options.RetryBurst, ProbesPerBackend: options.ProbesPerBackend, Rollouts: options.Rollouts,
		LateRequests: options.LateRequests, HonorReturns: options.HonorReturns, DetectSilentFull: options.DetectSilentFull, GradualReturn: options.GradualReturn,
	})
	dialect := platform.Dialect()
	built.Store, built.Machines, built.Sources, built.Dialect = store, store, store.Sources, &dialect
	built.Rollouts = store
}

// serve runs the daemon until SIGTERM or SIGINT, and then stops it without
// aborting requests. A second signal ends it immediately. SIGHUP reloads the settings
// file; it never ends the daemon, even during startup.
func serve(flagValues options, built daemon.Options) error {
	hangups := make(chan os.Signal, 1)
	signal.Notify(hangups, syscall.SIGHUP)
	limitCollector(built.Settings.Resources)
	running, err := daemon.Start(built)
	if err != nil {
		return err
	}
	go reloadOn(hangups, flagValues, running)
	first, stopFirst := signal.NotifyContext(context.Background(), syscall.SIGTERM, os.Interrupt)
	<-first.Done()
	stopFirst()
	second, stopSecond := signal.NotifyContext(context.Background(), syscall.SIGTERM, os.Interrupt)
	defer stopSecond()
	return running.Stop(second)
}

// collectorShare is the part of the machine's memory near which the collector of the runtime works harder.
const collectorShare = 0.7

// limitCollector makes the collector of the runtime keep to the memory of the machine, unless the environment says otherwise.
func limitCollector(resources settings.Resources) {
	if os.Getenv("GOMEMLIMIT") == "" {
		debug.SetMemoryLimit(int64(float64(resources.Memory()) * collectorShare))
	}
}

// reloadOn reloads the settings file at each signal, until the process ends.
func reloadOn(hangups <-chan os.Signal, flagValues options, running *daemon.Daemon) {
	for range hangups {
		built, err := load(flagValues)
		if err != nil {
			running.LogReloadError(err)
			continue
		}
		running.Reload(built.Settings)
	}
}
