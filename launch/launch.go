// Package launch is the daemon's command line: it reads flags and settings,
// starts the daemon, and stops it on a signal.
package launch

import (
	"context"
	"fmt"
	"os"
	"os/signal"
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
	var chosen options
	parser := flags.NewParser(&chosen, flags.Default)
	rest, err := parser.ParseArgs(arguments)
	if flags.WroteHelp(err) {
		return exitOK
	}
	if err != nil {
		return exitSettings // the parser has printed the error
	}
	if chosen.Version {
		fmt.Println("tuliphalld", daemon.Version)
		return exitOK
	}
	built, err := build(chosen, rest)
	if err != nil {
		fmt.Fprintln(os.Stderr, "tuliphalld:", err)
		return exitSettings
	}
	if chosen.CheckConfig {
		fmt.Println("configuration is valid")
		return exitOK
	}
	if err := serve(chosen, built); err != nil {
		fmt.Fprintln(os.Stderr, "tuliphalld:", err)
		return exitFailed
	}
	return exitOK
}

// build reads and checks the file that was named.
func build(chosen options, rest []string) (daemon.Options, error) {
	if len(rest) > 0 {
		return daemon.Options{}, errors.NotValidf("argument %q", rest[0])
	}
	if (chosen.Settings == "") == (chosen.Standalone == "") {
		return daemon.Options{}, errors.New("give either --settings FILE or --standalone FILE")
	}
	return load(chosen)
}

// load reads and checks the file that was named, and lets flags override it.
func load(chosen options) (daemon.Options, error) {
	var built daemon.Options
	var err error
	if chosen.Standalone != "" {
		built, err = standalone.Load(chosen.Standalone)
	} else {
		built, err = fromSettings(chosen.Settings)
	}
	if err != nil {
		return daemon.Options{}, err
	}
	if chosen.LogLevel != "" {
		built.Settings.Log.Level = chosen.LogLevel
	}
	if chosen.LogFormat != "" {
		built.Settings.Log.Format = chosen.LogFormat
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
		connect(&built)
	}
	return built, nil
}

// connect lets a daemon follow a platform that declares services and lists back
// ends itself.
func connect(built *daemon.Options) {
	chosen := built.Settings.Platform
	connected := platform.New(platform.Options{
		Address: chosen.Address, Direct: chosen.Direct, MaxConnections: chosen.Connections,
		RetryRatio: chosen.RetryRatio, RetryBurst: chosen.RetryBurst, ProbesPerBackend: chosen.ProbesPerBackend, Rollouts: chosen.Rollouts,
	})
	dialect := platform.Dialect()
	built.Store, built.Machines, built.Sources, built.Dialect = connected, connected, connected.Sources, &dialect
	built.Rollouts = connected
}

// serve runs the daemon until SIGTERM or SIGINT, and then stops it without
// cutting a request. A second signal ends it at once. SIGHUP reads the settings file
// again; it never ends the daemon, whenever it comes.
func serve(chosen options, built daemon.Options) error {
	hangups := make(chan os.Signal, 1)
	signal.Notify(hangups, syscall.SIGHUP)
	running, err := daemon.Start(built)
	if err != nil {
		return err
	}
	go reloadOn(hangups, chosen, running)
	first, release := signal.NotifyContext(context.Background(), syscall.SIGTERM, os.Interrupt)
	<-first.Done()
	release()
	second, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, os.Interrupt)
	defer stop()
	return running.Stop(second)
}

// reloadOn reads the settings file again at each signal. It runs as long as the
// process.
func reloadOn(hangups <-chan os.Signal, chosen options, running *daemon.Daemon) {
	for range hangups {
		built, err := load(chosen)
		if err != nil {
			running.LogReloadError(err)
			continue
		}
		running.Reload(built.Settings)
	}
}
