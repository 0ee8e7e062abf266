// Package settings reads and validates the daemon's own settings, which it needs
// before it can get the configuration from the platform.
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
	"github.com/tuliphall/tuliphall/overload"
	"github.com/tuliphall/tuliphall/quarantine"
)

// Settings are read from a TOML file; flags override some of them.
type Settings struct {
	// Name identifies the daemon among all daemons.
	Name string `toml:"name"`
	// Region and Zone are the location of the machine.
	Region string `toml:"region"`
	Zone   string `toml:"zone"`

	// Zones maps zones to their regions; zones that are not listed are in the daemon's own region. Back ends
	// of other regions get the requests for which the own region has no capacity.
	Zones map[string]string `toml:"zones"`

	// Cores is the processor time available to the daemon, in cores. Tasks that one daemon
	// performs for all are assigned to those with the most; 0: unknown, ranks lowest.
	Cores float64 `toml:"cores"`

	// Peers holds the peer addresses of other daemons to contact at startup, in
	// addition to those on the platform's machine list.
	Peers []string `toml:"peers"`

	Listen     Listen     `toml:"listen"`
	Platform   Platform   `toml:"platform"`
	Pipelining Pipelining `toml:"pipelining"`
	Resources  Resources  `toml:"resources"`
	Quarantine Quarantine `toml:"quarantine"`
	Stop       Stop       `toml:"stop"`
	Log        Log        `toml:"log"`
}

// Listen holds the addresses on which the daemon listens, each as IP:port.
type Listen struct {
	// Caller accepts requests of callers.
	Caller string `toml:"caller"`
	// Peer accepts messages of other daemons.
	Peer string `toml:"peer"`
	// Forward accepts requests that other daemons forward. Callers must not be
	// able to reach it.
	Forward string `toml:"forward"`
	// Admin accepts commands of operators, health checks and metrics requests. Whoever reaches it commands all daemons.
	Admin string `toml:"admin"`
	// Ready answers only whether the daemon is ready, for a balancer; empty: only Admin does.
	Ready string `toml:"ready"`
	// Metrics serves only the metrics, for clients that must not send commands; empty:
	// only Admin serves them.
	Metrics string `toml:"metrics"`
}

// Platform configures the access to the platform's services.
type Platform struct {
	// Address is a URL; empty only in standalone mode.
	Address string `toml:"address"`
	// Protocol is the protocol of the platform, ProtocolOwn or ProtocolObjects;
	// empty: ProtocolOwn.
	Protocol string `toml:"protocol"`
	// Timeout limits the duration of one call; 0: 2s.
	Timeout config.Duration `toml:"timeout"`
	// MaxBackoff limits the backoff after failed calls; 0: 15s.
	MaxBackoff config.Duration `toml:"max_backoff"`
	// Watchers is the number of daemons that watch the configuration; 0: 3;
	// AllWatch: every daemon.
	Watchers int `toml:"watchers"`
	// WatchInterval is the minimum time between two watches of one kind of
	// object; 0: no minimum.
	WatchInterval config.Duration `toml:"watch_interval"`
	// WatchGap is the time between the renewals of two daemons' watches, so
	// that a change that some daemons miss is soon seen by another; 0: each
	// watch waits as long as allowed.
	WatchGap config.Duration `toml:"watch_gap"`
	// FirstStart: the whole system starts for the first time. The daemon is notified
	// of the first declared objects and need not read the store before.
	FirstStart bool `toml:"first_start"`
	// Direct: each daemon chooses back ends independently if the platform
	// declares the services; false: it asks the service's dispatcher.
	Direct bool `toml:"direct"`
	// RetryRatio is the ratio of additional attempts to requests of a service
	// that the platform allows all daemons together; 0: the default of
	// retry.Budget.
	RetryRatio float64 `toml:"retry_ratio"`
	// RetryBurst is the number of attempts beyond this ratio that they may send in
	// a short time; 0: the default of retry.Budget for each daemon.
	RetryBurst float64 `toml:"retry_burst"`
	// Rollouts: operators order rollouts on the platform, and the daemon performs them.
	Rollouts bool `toml:"rollouts"`
	// ProbesPerBackend is the number of probes per second that the platform allows all
	// daemons together for one back end; 0: no probes.
	ProbesPerBackend float64 `toml:"probes_per_backend"`
	// Connections bounds the connections of one daemon to a back end that the
	// platform lists; 0: config.DefaultConnections.
	Connections int `toml:"connections"`
	// LateRequests, HonorReturns, DetectSilentFull and GradualReturn apply to all services that the
	// platform declares; see config.Service.
	LateRequests     string `toml:"late_requests"`
	HonorReturns     bool   `toml:"honor_returns"`
	DetectSilentFull bool   `toml:"detect_silent_full"`
	GradualReturn    bool   `toml:"gradual_return"`
	// WritesPerSecond limits this daemon's writes to the platform; 0: 20.
	WritesPerSecond float64 `toml:"writes_per_second"`
}

// Quarantine configures when requests that crash back ends are quarantined.
type Quarantine struct {
	// Endings is the number of back ends that a request must crash to be quarantined; 0: 3.
	Endings int `toml:"endings"`
	// Hold is the duration of the quarantine; 0: 1h.
	Hold config.Duration `toml:"hold"`
	// Memory is the time window within which crashes are counted together; 0: 15m.
	Memory config.Duration `toml:"memory"`
}

// Policy converts the settings to those of package quarantine.
func (q Quarantine) Policy() quarantine.Policy {
	return quarantine.Policy{CrashThreshold: q.Endings, Duration: time.Duration(q.Hold), CrashWindow: time.Duration(q.Memory)}
}

// setDefaults sets the defaults of settings that are zero.
func (q *Quarantine) setDefaults() {
	q.Endings = cmp.Or(q.Endings, quarantine.DefaultCrashThreshold)
	q.Hold = cmp.Or(q.Hold, config.Duration(quarantine.DefaultDuration))
	q.Memory = cmp.Or(q.Memory, config.Duration(quarantine.DefaultCrashWindow))
}

// Resources limits what callers occupy of the machine.
type Resources struct {
	// MemoryMB is the memory of the machine in MB, from which the limits on connections and on the memory of requests are
	// derived; 0: what the system reports, DefaultMemoryMB at most.
	MemoryMB int `toml:"memory_mb"`
	// Connections limits the open connections of callers; 0: derived from the memory and from the descriptors that the
	// process may have open.
	Connections int `toml:"connections"`
}

// bytesPerMB converts MemoryMB.
const bytesPerMB = 1_000_000

// Memory returns the memory of the machine in bytes.
func (r Resources) Memory() int64 {
	if r.MemoryMB > 0 {
		return int64(r.MemoryMB) * bytesPerMB
	}
	assumed := int64(DefaultMemoryMB * bytesPerMB)
	if reported := overload.MachineMemory(); reported > 0 {
		return min(reported, assumed)
	}
	return assumed
}

// Pipelining limits the requests that are processed before the earlier requests on the same
// connection have been answered.
type Pipelining struct {
	// Requests is the maximum per connection, not counting the request that is answered
	// next; 0: 16; NoPipelining: none.
	Requests int `toml:"requests"`
	// Total is the maximum over all connections; 0: 256.
	Total int `toml:"total"`
	// RequestBytes limits the bytes read ahead on a connection; 0: 65536.
	RequestBytes int `toml:"request_bytes"`
	// AnswerBytes limits the bytes of a response that are buffered until it can be sent; 0: 32768.
	AnswerBytes int `toml:"answer_bytes"`
}

// NoPipelining as Pipelining.Requests disables pipelining: each request waits for the earlier ones.
const NoPipelining = -1

// Stop configures the graceful shutdown of the daemon.
type Stop struct {
	// Notice is the time for which the daemon continues to accept requests after it
	// reports that it is not ready, so that the platform's balancer notices; 0: 2s.
	Notice config.Duration `toml:"notice"`
	// Sessions limits the time for which upgraded connections and streams may
	// continue; 0: unlimited.
	Sessions config.Duration `toml:"sessions"`
	// Within is the time after the signal at which the platform kills the process. Notice
	// and Sessions are shortened to fit. 0: they are not.
	Within config.Duration `toml:"within"`
}

// Log configures logging.
type Log struct {
	// Level is debug, info, warn or error; empty: info.
	Level string `toml:"level"`
	// Format is text or json; empty: text.
	Format string `toml:"format"`
	// Decisions: each routing decision is logged; false: decisions are only counted.
	Decisions bool `toml:"decisions"`
	// LinesPerSecond and BytesPerSecond limit the log volume; 0: 1000 lines, 300000 bytes.
	// Lines about successful requests may use half of that.
	LinesPerSecond int `toml:"lines_per_second"`
	BytesPerSecond int `toml:"bytes_per_second"`
}

// Platform protocols.
const (
	// ProtocolOwn is the object API and machine list of package objectstore.
	ProtocolOwn = "own"
	// ProtocolObjects is the store API of package platform, which also declares
	// the services and lists the back ends.
	ProtocolObjects = "objects"
)

// AllWatch as Platform.Watchers lets every daemon watch the configuration.
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

	// DefaultPipelined is the number of requests that a caller can send at once and wait for
	// only once, while it takes no more of the back ends than that many callers would.
	DefaultPipelined = 16
	// DefaultMemoryMB is assumed if the memory is not set: a machine of which the daemon was told nothing may serve others too.
	DefaultMemoryMB = 256
	// DefaultPipelinedTotal responses of DefaultAnswerBytes take 8 MiB.
	DefaultPipelinedTotal = 256
	DefaultAnswerBytes    = 32 << 10
	// DefaultRequestBytes is the maximum size of the head of one request.
	DefaultRequestBytes = 64 << 10

	maxPipelined      = 1000
	maxPipelinedTotal = 100_000
	minPipelinedBytes = 1 << 10
	maxPipelinedBytes = 16 << 20

	maxCores = 1024

	minMemoryMB, maxMemoryMB       = 64, 16 << 20
	minConnections, maxConnections = 64, 1_000_000

	maxTimeout  = config.Duration(time.Minute)
	maxWatchers = 20
	maxWrites   = 100
	maxNotice   = config.Duration(10 * time.Minute)
	minWithin   = config.Duration(time.Second)
	maxSessions = config.Duration(7 * 24 * time.Hour)

	// shutdownMargin is the time reserved for the steps of a graceful shutdown that follow the
	// last request.
	shutdownMargin = config.Duration(300 * time.Millisecond)

	minLogLines, maxLogLines = 10, 1_000_000
	minLogBytes, maxLogBytes = 10_000, 1_000_000_000
)

var namePattern = regexp.MustCompile(`^[a-z0-9]([a-z0-9.-]{0,61}[a-z0-9])?$`)

// Load reads a settings file, sets defaults and validates the settings.
func Load(path string) (Settings, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return Settings{}, errors.Annotate(err, "reading the settings")
	}
	return Decode(path, text)
}

// Decode decodes settings from a text, sets defaults and validates the settings. name
// identifies the text in errors.
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

// SetDefaults sets the defaults of settings that are zero.
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
	s.Pipelining.setDefaults()
	s.Quarantine.setDefaults()
	s.Stop.fitWithin()
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

// setDefaults sets the defaults of settings that are zero.
func (p *Pipelining) setDefaults() {
	p.Requests = cmp.Or(p.Requests, DefaultPipelined)
	p.Total = cmp.Or(p.Total, DefaultPipelinedTotal)
	p.RequestBytes = cmp.Or(p.RequestBytes, DefaultRequestBytes)
	p.AnswerBytes = cmp.Or(p.AnswerBytes, DefaultAnswerBytes)
}

// fitWithin shortens Notice and Sessions to the time that the platform allows for the shutdown.
func (s *Stop) fitWithin() {
	if s.Within <= shutdownMargin {
		return
	}
	s.Notice = min(s.Notice, s.Within/2)
	remaining := s.Within - s.Notice - shutdownMargin
	if s.Sessions == 0 || s.Sessions > remaining {
		s.Sessions = remaining
	}
}

// SettingError reports an invalid setting.
type SettingError struct {
	Key     string
	Value   any
	Allowed string
}

// Error returns the key, the value and the allowed values.
func (e *SettingError) Error() string {
	return fmt.Sprintf("setting %s: value %q: allowed: %s", e.Key, fmt.Sprint(e.Value), e.Allowed)
}

// Validate checks all settings. The error joins a *SettingError for each invalid
// setting.
func (s *Settings) Validate() error {
	var errs []error
	check := func(ok bool, key string, value any, allowed string) {
		if !ok {
			errs = append(errs, &SettingError{Key: key, Value: value, Allowed: allowed})
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
	check(s.Listen.Ready == "" || isAddress(s.Listen.Ready), "listen.ready", s.Listen.Ready, "IP:port, or empty")
	check(s.Listen.Metrics == "" || isAddress(s.Listen.Metrics), "listen.metrics", s.Listen.Metrics, "IP:port, or empty")
	check(s.Cores >= 0 && s.Cores <= maxCores, "cores", s.Cores, "0 to 1024")
	for _, address := range s.Peers {
		check(isAddress(address), "peers", address, "IP:port")
	}
	check(isBaseURL(s.Platform.Address), "platform.address", s.Platform.Address, "http://IP:port")
	check(inRange(s.Platform.Timeout, maxTimeout), "platform.timeout", time.Duration(s.Platform.Timeout), "10µs to 1m, with a unit")
	check(s.Platform.Protocol == ProtocolOwn || s.Platform.Protocol == ProtocolObjects, "platform.protocol", s.Platform.Protocol, ProtocolOwn+" or "+ProtocolObjects)
	check(inRange(s.Platform.MaxBackoff, maxTimeout), "platform.max_backoff", time.Duration(s.Platform.MaxBackoff), "10µs to 1m, with a unit")
	check(s.Platform.WatchInterval == 0 || inRange(s.Platform.WatchInterval, maxTimeout), "platform.watch_interval", time.Duration(s.Platform.WatchInterval), "0 or 10µs to 1m, with a unit")
	check(s.Platform.WatchGap == 0 || inRange(s.Platform.WatchGap, maxTimeout), "platform.watch_gap", time.Duration(s.Platform.WatchGap), "0 or 10µs to 1m, with a unit")
	check(s.Platform.ProbesPerBackend >= 0 && s.Platform.ProbesPerBackend <= config.MaxProbesPerSecond, "platform.probes_per_backend", s.Platform.ProbesPerBackend, fmt.Sprintf("0 to %d", config.MaxProbesPerSecond))
	check(s.Platform.RetryRatio >= 0 && s.Platform.RetryRatio <= config.MaxRetryRatio, "platform.retry_ratio", s.Platform.RetryRatio, "0 to 1")
	check(s.Platform.RetryBurst >= 0 && s.Platform.RetryBurst <= config.MaxRetryBurst, "platform.retry_burst", s.Platform.RetryBurst, "0 to 100000")
	check(s.Platform.LateRequests == "" || s.Platform.LateRequests == config.LateRequestsWait, "platform.late_requests", s.Platform.LateRequests, "empty or "+config.LateRequestsWait)
	check(s.Platform.Connections >= 1 && s.Platform.Connections <= config.MaxConnections, "platform.connections", s.Platform.Connections, "1 to 10000")
	watchers := s.Platform.Watchers
	check(watchers == AllWatch || (watchers >= 1 && watchers <= maxWatchers), "platform.watchers", watchers, "1 to 20, or -1 for every daemon")
	check(s.Platform.WritesPerSecond > 0 && s.Platform.WritesPerSecond <= maxWrites, "platform.writes_per_second", s.Platform.WritesPerSecond, "above 0 to 100")
	pipelining := s.Pipelining
	check(pipelining.Requests == NoPipelining || (pipelining.Requests >= 1 && pipelining.Requests <= maxPipelined), "pipelining.requests", pipelining.Requests, "1 to 1000, or -1 for none")
	check(pipelining.Total >= 1 && pipelining.Total <= maxPipelinedTotal, "pipelining.total", pipelining.Total, "1 to 100000")
	check(pipelining.RequestBytes >= minPipelinedBytes && pipelining.RequestBytes <= maxPipelinedBytes, "pipelining.request_bytes", pipelining.RequestBytes, "1024 to 16777216")
	check(pipelining.AnswerBytes >= minPipelinedBytes && pipelining.AnswerBytes <= maxPipelinedBytes, "pipelining.answer_bytes", pipelining.AnswerBytes, "1024 to 16777216")
	resources := s.Resources
	check(resources.MemoryMB == 0 || (resources.MemoryMB >= minMemoryMB && resources.MemoryMB <= maxMemoryMB), "resources.memory_mb", resources.MemoryMB, fmt.Sprintf("0 or %d to %d", minMemoryMB, maxMemoryMB))
	check(resources.Connections == 0 || (resources.Connections >= minConnections && resources.Connections <= maxConnections), "resources.connections", resources.Connections, fmt.Sprintf("0 or %d to %d", minConnections, maxConnections))
	check(s.Quarantine.Endings >= 1 && s.Quarantine.Endings <= quarantine.MaxCrashThreshold, "quarantine.endings", s.Quarantine.Endings, fmt.Sprintf("1 to %d", quarantine.MaxCrashThreshold))
	check(inRange(s.Quarantine.Hold, maxSessions), "quarantine.hold", time.Duration(s.Quarantine.Hold), "10µs to 168h, with a unit")
	check(inRange(s.Quarantine.Memory, maxSessions), "quarantine.memory", time.Duration(s.Quarantine.Memory), "10µs to 168h, with a unit")
	check(inRange(s.Stop.Notice, maxNotice), "stop.notice", time.Duration(s.Stop.Notice), "10µs to 10m, with a unit")
	check(s.Stop.Sessions == 0 || inRange(s.Stop.Sessions, maxSessions), "stop.sessions", time.Duration(s.Stop.Sessions), "0 or 10µs to 168h, with a unit")
	check(s.Stop.Within == 0 || (s.Stop.Within >= minWithin && s.Stop.Within <= maxSessions), "stop.within", time.Duration(s.Stop.Within), "0 or 1s to 168h, with a unit")
	var level slog.Level
	check(level.UnmarshalText([]byte(s.Log.Level)) == nil, "log.level", s.Log.Level, "debug, info, warn or error")
	check(s.Log.Format == "text" || s.Log.Format == "json", "log.format", s.Log.Format, "text or json")
	lines, bytes := s.Log.LinesPerSecond, s.Log.BytesPerSecond
	check(lines >= minLogLines && lines <= maxLogLines, "log.lines_per_second", lines, fmt.Sprintf("%d to %d", minLogLines, maxLogLines))
	check(bytes >= minLogBytes && bytes <= maxLogBytes, "log.bytes_per_second", bytes, fmt.Sprintf("%d to %d", minLogBytes, maxLogBytes))
	return stderrors.Join(errs...)
}

// inRange rejects durations that are so short that they were probably written as a bare
// number, which TOML decodes as nanoseconds.
func inRange(value, high config.Duration) bool {
	return value >= config.MinDuration && value <= high
}

func isAddress(text string) bool {
	_, err := netip.ParseAddrPort(text)
	return err == nil
}

// isBaseURL accepts http and https URLs, and an empty address for standalone mode.
func isBaseURL(text string) bool {
	if text == "" {
		return true
	}
	parsed, err := url.Parse(text)
	return err == nil && (parsed.Scheme == "http" || parsed.Scheme == "https") && parsed.Host != ""
}
