// Package settings reads and checks the daemon's own settings: what it must
// know before it can learn the configuration from the platform.
package settings

import (
	"cmp"
	stderrors "errors"
	"fmt"
	"log/slog"
	"net/netip"
	"net/url"
	"os"
	"regexp"
	"time"

	"github.com/juju/errors"

	"github.com/tuliphall/tuliphall/config"
	"github.com/tuliphall/tuliphall/quarantine"
)

// Settings are read from a TOML file; flags override some of them.
type Settings struct {
	// Name identifies the daemon among all daemons.
	Name string `toml:"name"`
	// Region and Zone say where the machine stands.
	Region string `toml:"region"`
	Zone   string `toml:"zone"`

	// Zones says in which region each zone lies; one that is not named lies in the own region. Back ends
	// of other regions are used for what the own ones cannot work on.
	Zones map[string]string `toml:"zones"`

	// Cores is how much processor time the machine gives the daemon, in cores. What one
	// daemon does for all is done by those with the most; 0: unknown, as little as any.
	Cores float64 `toml:"cores"`

	// Peers are peer addresses of other daemons to ask at the start, besides
	// those on the platform's machine list.
	Peers []string `toml:"peers"`

	Listen     Listen     `toml:"listen"`
	Platform   Platform   `toml:"platform"`
	Pipelining Pipelining `toml:"pipelining"`
	Quarantine Quarantine `toml:"quarantine"`
	Stop       Stop       `toml:"stop"`
	Log        Log        `toml:"log"`
}

// Listen holds the addresses the daemon listens on, each IP:port.
type Listen struct {
	// Caller takes callers' requests.
	Caller string `toml:"caller"`
	// Peer takes messages of other daemons.
	Peer string `toml:"peer"`
	// Forward takes requests that other daemons forward. It must not be
	// reachable for callers.
	Forward string `toml:"forward"`
	// Admin takes operators' commands, health checks and metrics.
	Admin string `toml:"admin"`
	// Metrics serves the metrics alone, for those who may not command; empty: only
	// Admin does.
	Metrics string `toml:"metrics"`
}

// Platform says where the platform's services are.
type Platform struct {
	// Address is a URL; empty only in standalone mode.
	Address string `toml:"address"`
	// Protocol is how the platform is spoken to: ProtocolOwn or
	// ProtocolObjects; empty: ProtocolOwn.
	Protocol string `toml:"protocol"`
	// Timeout bounds one call; 0: 2s.
	Timeout config.Duration `toml:"timeout"`
	// MaxBackoff bounds the pause after failed calls; 0: 15s.
	MaxBackoff config.Duration `toml:"max_backoff"`
	// Watchers is how many daemons watch the configuration; 0: 3; AllWatch:
	// every daemon.
	Watchers int `toml:"watchers"`
	// WatchInterval is the least time between two watches of one kind of
	// object; 0: none.
	WatchInterval config.Duration `toml:"watch_interval"`
	// WatchGap is the time between the renewals of two daemons' watches, so
	// that news which some miss is heard by another soon; 0: each waits as long
	// as it may.
	WatchGap config.Duration `toml:"watch_gap"`
	// FirstStart says that the whole system starts for the first time: what is
	// declared first is told to the daemon, which need not read the store.
	FirstStart bool `toml:"first_start"`
	// Direct lets each daemon choose back ends by itself, where the platform
	// declares the services; false: it asks the service's dispatcher.
	Direct bool `toml:"direct"`
	// RetryRatio is the share of a service's requests that the platform lets
	// all daemons together send once more; 0: the default of retry.Budget.
	RetryRatio float64 `toml:"retry_ratio"`
	// RetryBurst is how many more than that they may send in a short time; 0:
	// the default of retry.Budget for each daemon.
	RetryBurst float64 `toml:"retry_burst"`
	// Rollouts says whether operators order rollouts on the platform, which are then followed.
	Rollouts bool `toml:"rollouts"`
	// ProbesPerBackend is what the platform lets all daemons together send to a back
	// end in a second; 0: no probes.
	ProbesPerBackend float64 `toml:"probes_per_backend"`
	// Connections bounds one daemon's connections to a back end that the
	// platform lists; 0: config.DefaultConnections.
	Connections int `toml:"connections"`
	// WritesPerSecond bounds this daemon's writes; 0: 20.
	WritesPerSecond float64 `toml:"writes_per_second"`
}

// Quarantine says when requests under which back ends end are held back.
type Quarantine struct {
	// Endings is how many back ends end under a request before it is held back; 0: 3.
	Endings int `toml:"endings"`
	// Hold is how long it is held back; 0: 1h.
	Hold config.Duration `toml:"hold"`
	// Memory is for how long such endings count together; 0: 15m.
	Memory config.Duration `toml:"memory"`
}

// Policy returns the settings as package quarantine has them.
func (q Quarantine) Policy() quarantine.Policy {
	return quarantine.Policy{CrashThreshold: q.Endings, Duration: time.Duration(q.Hold), CrashWindow: time.Duration(q.Memory)}
}

// provision fills in the defaults.
func (q *Quarantine) provision() {
	q.Endings = cmp.Or(q.Endings, quarantine.DefaultCrashThreshold)
	q.Hold = cmp.Or(q.Hold, config.Duration(quarantine.DefaultDuration))
	q.Memory = cmp.Or(q.Memory, config.Duration(quarantine.DefaultCrashWindow))
}

// Pipelining bounds the requests that are worked on before those ahead of them on their
// connection are answered.
type Pipelining struct {
	// Requests is how many of one connection may be, besides the one that is answered
	// next; 0: 16; NoPipelining: none.
	Requests int `toml:"requests"`
	// Total is how many of all connections may be; 0: 256.
	Total int `toml:"total"`
	// RequestBytes bounds what is read ahead on a connection; 0: 65536.
	RequestBytes int `toml:"request_bytes"`
	// AnswerBytes bounds what is kept of an answer until its turn comes; 0: 32768.
	AnswerBytes int `toml:"answer_bytes"`
}

// NoPipelining as the number of requests lets each wait for those ahead of it.
const NoPipelining = -1

// Stop says how a planned stop goes.
type Stop struct {
	// Notice is how long the daemon goes on accepting after it says that it
	// is not ready, so that the platform's balancer notices; 0: 2s.
	Notice config.Duration `toml:"notice"`
	// Sessions is how long upgraded connections and streams may go on;
	// 0: until they end.
	Sessions config.Duration `toml:"sessions"`
	// Within is how long after the signal the platform ends the process; Notice and
	// Sessions are shortened to fit in. 0: they are not.
	Within config.Duration `toml:"within"`
}

// Log says what is logged and how.
type Log struct {
	// Level is debug, info, warn or error; empty: info.
	Level string `toml:"level"`
	// Format is text or json; empty: text.
	Format string `toml:"format"`
	// Decisions logs a line for each routing decision; false: only counted.
	Decisions bool `toml:"decisions"`
	// LinesPerSecond and BytesPerSecond bound the log; 0: 1000 lines, 300000 bytes.
	// Lines of requests that went well may use half of that.
	LinesPerSecond int `toml:"lines_per_second"`
	BytesPerSecond int `toml:"bytes_per_second"`
}

// The protocols of a platform.
const (
	// ProtocolOwn is the object API and machine list of package objectstore.
	ProtocolOwn = "own"
	// ProtocolObjects is the store of package platform, which also declares
	// the services and lists the back ends.
	ProtocolObjects = "objects"
)

// AllWatch as the number of watchers lets every daemon watch.
const AllWatch = -1

// Defaults and bounds.
const (
	DefaultTimeout         = config.Duration(2 * time.Second)
	DefaultMaxBackoff      = config.Duration(15 * time.Second)
	DefaultWatchers        = 3
	DefaultWritesPerSecond = 20
	DefaultNotice          = config.Duration(2 * time.Second)
	DefaultLinesPerSecond  = 1000
	DefaultBytesPerSecond  = 300_000

	// DefaultPipelined lets a caller that sends that many at once wait once instead of
	// that many times, and take no more of the back ends than that many callers would.
	DefaultPipelined = 16
	// DefaultPipelinedTotal answers of DefaultAnswerBytes take 8 MiB.
	DefaultPipelinedTotal = 256
	DefaultAnswerBytes    = 32 << 10
	// DefaultRequestBytes is as long as the head of one request may be.
	DefaultRequestBytes = 64 << 10

	maxPipelined      = 1000
	maxPipelinedTotal = 100_000
	minPipelinedBytes = 1 << 10
	maxPipelinedBytes = 16 << 20

	maxCores = 1024

	maxTimeout  = config.Duration(time.Minute)
	maxWatchers = 20
	maxWrites   = 100
	maxNotice   = config.Duration(10 * time.Minute)
	minWithin   = config.Duration(time.Second)
	maxSessions = config.Duration(7 * 24 * time.Hour)

	// stopMargin is for what comes after the last request of a planned stop.
	stopMargin = config.Duration(300 * time.Millisecond)

	minLogLines, maxLogLines = 10, 1_000_000
	minLogBytes, maxLogBytes = 10_000, 1_000_000_000
)

var namePattern = regexp.MustCompile(`^[a-z0-9]([a-z0-9.-]{0,61}[a-z0-9])?$`)

// Load reads, completes and checks a settings file.
func Load(path string) (Settings, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return Settings{}, errors.Annotate(err, "settings")
	}
	return Decode(path, text)
}

// Decode reads settings from a text; name stands for it in errors.
func Decode(name string, text []byte) (Settings, error) {
	var settings Settings
	if err := config.DecodeStrictTOML(name, text, &settings); err != nil {
		return Settings{}, err
	}
	settings.SetDefaults()
	if err := settings.Validate(); err != nil {
		return Settings{}, errors.Annotate(err, name)
	}
	return settings, nil
}

// SetDefaults fills in the defaults.
func (s *Settings) SetDefaults() {
	if s.Platform.Timeout == 0 {
		s.Platform.Timeout = DefaultTimeout
	}
	if s.Platform.Protocol == "" {
		s.Platform.Protocol = ProtocolOwn
	}
	if s.Platform.MaxBackoff == 0 {
		s.Platform.MaxBackoff = DefaultMaxBackoff
	}
	if s.Platform.Connections == 0 {
		s.Platform.Connections = config.DefaultConnections
	}
	if s.Platform.Watchers == 0 {
		s.Platform.Watchers = DefaultWatchers
	}
	if s.Platform.WritesPerSecond == 0 {
		s.Platform.WritesPerSecond = DefaultWritesPerSecond
	}
	if s.Stop.Notice == 0 {
		s.Stop.Notice = DefaultNotice
	}
	s.Pipelining.provision()
	s.Quarantine.provision()
	s.Stop.fit()
	if s.Log.Level == "" {
		s.Log.Level = "info"
	}
	if s.Log.Format == "" {
		s.Log.Format = "text"
	}
	if s.Log.LinesPerSecond == 0 {
		s.Log.LinesPerSecond = DefaultLinesPerSecond
	}
	if s.Log.BytesPerSecond == 0 {
		s.Log.BytesPerSecond = DefaultBytesPerSecond
	}
}

// provision fills in the defaults.
func (p *Pipelining) provision() {
	p.Requests = cmp.Or(p.Requests, DefaultPipelined)
	p.Total = cmp.Or(p.Total, DefaultPipelinedTotal)
	p.RequestBytes = cmp.Or(p.RequestBytes, DefaultRequestBytes)
	p.AnswerBytes = cmp.Or(p.AnswerBytes, DefaultAnswerBytes)
}

// fit shortens a planned stop to the time that the platform gives it.
func (s *Stop) fit() {
	if s.Within <= stopMargin {
		return
	}
	s.Notice = min(s.Notice, s.Within/2)
	left := s.Within - s.Notice - stopMargin
	if s.Sessions == 0 || s.Sessions > left {
		s.Sessions = left
	}
}

// SettingError names a setting that is wrong, and what is allowed.
type SettingError struct {
	Key     string
	Value   any
	Allowed string
}

// Error names the key, the value and what is allowed.
func (e *SettingError) Error() string {
	return fmt.Sprintf("setting %s: value %q: allowed: %s", e.Key, fmt.Sprint(e.Value), e.Allowed)
}

// Validate checks every setting. The error joins a *SettingError for each that
// is wrong.
func (s *Settings) Validate() error {
	var wrong []error
	check := func(ok bool, key string, value any, allowed string) {
		if !ok {
			wrong = append(wrong, &SettingError{Key: key, Value: value, Allowed: allowed})
		}
	}
	check(namePattern.MatchString(s.Name), "name", s.Name, "1 to 63 lower-case letters, digits, inner dots and hyphens")
	check(namePattern.MatchString(s.Region), "region", s.Region, "a name as for name")
	check(namePattern.MatchString(s.Zone), "zone", s.Zone, "a name as for name")
	for zone, region := range s.Zones {
		check(namePattern.MatchString(zone) && namePattern.MatchString(region), "zones", zone+" = "+region, "names as for name, a region for each zone")
	}
	check(isAddress(s.Listen.Caller), "listen.caller", s.Listen.Caller, "IP:port")
	check(isAddress(s.Listen.Peer), "listen.peer", s.Listen.Peer, "IP:port")
	check(isAddress(s.Listen.Forward), "listen.forward", s.Listen.Forward, "IP:port")
	check(isAddress(s.Listen.Admin), "listen.admin", s.Listen.Admin, "IP:port")
	check(s.Listen.Metrics == "" || isAddress(s.Listen.Metrics), "listen.metrics", s.Listen.Metrics, "IP:port, or empty")
	check(s.Cores >= 0 && s.Cores <= maxCores, "cores", s.Cores, "0 to 1024")
	for _, address := range s.Peers {
		check(isAddress(address), "peers", address, "IP:port")
	}
	check(isBase(s.Platform.Address), "platform.address", s.Platform.Address, "http://IP:port")
	check(within(s.Platform.Timeout, maxTimeout), "platform.timeout", time.Duration(s.Platform.Timeout), "10µs to 1m, with a unit")
	check(s.Platform.Protocol == ProtocolOwn || s.Platform.Protocol == ProtocolObjects, "platform.protocol", s.Platform.Protocol, ProtocolOwn+" or "+ProtocolObjects)
	check(within(s.Platform.MaxBackoff, maxTimeout), "platform.max_backoff", time.Duration(s.Platform.MaxBackoff), "10µs to 1m, with a unit")
	check(s.Platform.WatchInterval == 0 || within(s.Platform.WatchInterval, maxTimeout), "platform.watch_interval", time.Duration(s.Platform.WatchInterval), "0 or 10µs to 1m, with a unit")
	check(s.Platform.WatchGap == 0 || within(s.Platform.WatchGap, maxTimeout), "platform.watch_gap", time.Duration(s.Platform.WatchGap), "0 or 10µs to 1m, with a unit")
	check(s.Platform.ProbesPerBackend >= 0 && s.Platform.ProbesPerBackend <= config.MaxProbesPerSecond, "platform.probes_per_backend", s.Platform.ProbesPerBackend, fmt.Sprintf("0 to %d", config.MaxProbesPerSecond))
	check(s.Platform.RetryRatio >= 0 && s.Platform.RetryRatio <= config.MaxRetryRatio, "platform.retry_ratio", s.Platform.RetryRatio, "0 to 1")
	check(s.Platform.RetryBurst >= 0 && s.Platform.RetryBurst <= config.MaxRetryBurst, "platform.retry_burst", s.Platform.RetryBurst, "0 to 100000")
	check(s.Platform.Connections >= 1 && s.Platform.Connections <= config.MaxConnections, "platform.connections", s.Platform.Connections, "1 to 10000")
	watchers := s.Platform.Watchers
	check(watchers == AllWatch || (watchers >= 1 && watchers <= maxWatchers), "platform.watchers", watchers, "1 to 20, or -1 for every daemon")
	check(s.Platform.WritesPerSecond > 0 && s.Platform.WritesPerSecond <= maxWrites, "platform.writes_per_second", s.Platform.WritesPerSecond, "above 0 to 100")
	pipelining := s.Pipelining
	check(pipelining.Requests == NoPipelining || (pipelining.Requests >= 1 && pipelining.Requests <= maxPipelined), "pipelining.requests", pipelining.Requests, "1 to 1000, or -1 for none")
	check(pipelining.Total >= 1 && pipelining.Total <= maxPipelinedTotal, "pipelining.total", pipelining.Total, "1 to 100000")
	check(pipelining.RequestBytes >= minPipelinedBytes && pipelining.RequestBytes <= maxPipelinedBytes, "pipelining.request_bytes", pipelining.RequestBytes, "1024 to 16777216")
	check(pipelining.AnswerBytes >= minPipelinedBytes && pipelining.AnswerBytes <= maxPipelinedBytes, "pipelining.answer_bytes", pipelining.AnswerBytes, "1024 to 16777216")
	check(s.Quarantine.Endings >= 1 && s.Quarantine.Endings <= quarantine.MaxCrashThreshold, "quarantine.endings", s.Quarantine.Endings, fmt.Sprintf("1 to %d", quarantine.MaxCrashThreshold))
	check(within(s.Quarantine.Hold, maxSessions), "quarantine.hold", time.Duration(s.Quarantine.Hold), "10µs to 168h, with a unit")
	check(within(s.Quarantine.Memory, maxSessions), "quarantine.memory", time.Duration(s.Quarantine.Memory), "10µs to 168h, with a unit")
	check(within(s.Stop.Notice, maxNotice), "stop.notice", time.Duration(s.Stop.Notice), "10µs to 10m, with a unit")
	check(s.Stop.Sessions == 0 || within(s.Stop.Sessions, maxSessions), "stop.sessions", time.Duration(s.Stop.Sessions), "0 or 10µs to 168h, with a unit")
	check(s.Stop.Within == 0 || (s.Stop.Within >= minWithin && s.Stop.Within <= maxSessions), "stop.within", time.Duration(s.Stop.Within), "0 or 1s to 168h, with a unit")
	var level slog.Level
	check(level.UnmarshalText([]byte(s.Log.Level)) == nil, "log.level", s.Log.Level, "debug, info, warn or error")
	check(s.Log.Format == "text" || s.Log.Format == "json", "log.format", s.Log.Format, "text or json")
	lines, bytes := s.Log.LinesPerSecond, s.Log.BytesPerSecond
	check(lines >= minLogLines && lines <= maxLogLines, "log.lines_per_second", lines, fmt.Sprintf("%d to %d", minLogLines, maxLogLines))
	check(bytes >= minLogBytes && bytes <= maxLogBytes, "log.bytes_per_second", bytes, fmt.Sprintf("%d to %d", minLogBytes, maxLogBytes))
	return stderrors.Join(wrong...)
}

// within refuses durations so short that they were surely written as a bare
// number, which TOML would take for nanoseconds.
func within(value, high config.Duration) bool {
	return value >= config.MinDuration && value <= high
}

func isAddress(text string) bool {
	_, err := netip.ParseAddrPort(text)
	return err == nil
}

// isBase accepts an empty address, which standalone mode has.
func isBase(text string) bool {
	if text == "" {
		return true
	}
	parsed, err := url.Parse(text)
	return err == nil && (parsed.Scheme == "http" || parsed.Scheme == "https") && parsed.Host != ""
}
