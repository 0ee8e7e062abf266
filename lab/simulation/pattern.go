package simulation

import (
	"math"
	"math/rand/v2"
	"os"
	"time"

	"github.com/juju/errors"

	"github.com/tuliphall/tuliphall/config"
)

// Pattern is a load pattern for Replay.
type Pattern struct {
	// Description says what load the pattern stands for.
	Description string          `toml:"answers"`
	Duration    config.Duration `toml:"duration"`
	// MessageDelay is the one-way delay between caller, daemon, dispatcher and back end.
	MessageDelay config.Duration `toml:"wire"`
	// RetryRatio and RetryBurst are the retry budget of the service.
	RetryRatio float64 `toml:"retry_ratio"`
	RetryBurst float64 `toml:"retry_burst"`
	// LateRequests, HonorReturns and GradualReturn are the settings of the service; see config.Service.
	LateRequests  string          `toml:"late_requests"`
	HonorReturns  bool            `toml:"honor_returns"`
	GradualReturn bool            `toml:"gradual_return"`
	Backends      PatternBackends `toml:"backends"`
	Classes       []PatternClass  `toml:"classes"`
	Events        []PatternEvent  `toml:"troubles"`
	Zones         PatternZones    `toml:"zones"`
	Placement     Placement       `toml:"-"`
}

// PatternBackends are the back ends of the service.
type PatternBackends struct {
	Count int `toml:"count"`
	Slots int `toml:"slots"`
	Queue int `toml:"queue"` // requests that each queues before it rejects more
	// With Knee or more requests running, all take KneeFactor times as long.
	Knee       int     `toml:"knee"`
	KneeFactor float64 `toml:"knee_factor"`
	// WarmUp is how long a back end is cold after its start or its evacuation; 0: never.
	// WarmUpRate is how many requests a second the dispatcher may send it meanwhile. More
	// than ColdFailureThreshold within a second make it fail for WarmUp.
	WarmUp               config.Duration `toml:"warm_up"`
	WarmUpRate           float64         `toml:"bears"`
	ColdFailureThreshold int             `toml:"falls_over"`
	// Slowdown, Noisy and Quiet describe the noisy neighbours; see Noise.
	Slowdown float64         `toml:"slowdown"`
	Noisy    config.Duration `toml:"noisy"`
	Quiet    config.Duration `toml:"quiet"`
	// ProbesPerBackend is how many load probes a second each gets at most; 0: there are none.
	ProbesPerBackend float64 `toml:"probes_per_backend"`
}

// noise returns the noisy neighbours of the back ends.
func (b PatternBackends) noise() Noise {
	return Noise{Slowdown: b.Slowdown, Noisy: time.Duration(b.Noisy), Quiet: time.Duration(b.Quiet)}
}

// PatternClass is one class of requests.
type PatternClass struct {
	Name          string          `toml:"name"`
	Weight        int             `toml:"weight"`
	Repeatable    bool            `toml:"repeatable"`
	PerSecond     float64         `toml:"per_second"`
	Work          config.Duration `toml:"work"`   // mean service time
	LogSigma      float64         `toml:"spread"` // standard deviation of the logarithm of the service time
	Objective     config.Duration `toml:"objective"`
	Deadline      config.Duration `toml:"deadline"`
	CallerRetries int             `toml:"retries"`  // of one request by the caller
	MaxAttempts   int             `toml:"attempts"` // at back ends, by the daemon, per try
	// LongShare of the requests take LongFactor times as long.
	LongShare  float64 `toml:"long"`
	LongFactor float64 `toml:"long_factor"`
	// ImmediateRetryShare is the share of the retries that ignore Retry-After.
	ImmediateRetryShare float64 `toml:"impatient"`
}

// drawWork draws the service time of one request from a log-normal distribution.
func (c PatternClass) drawWork(random *rand.Rand) time.Duration {
	factor := math.Exp(c.LogSigma*random.NormFloat64() - c.LogSigma*c.LogSigma/2)
	if c.LongShare > 0 && random.Float64() < c.LongShare {
		factor *= c.LongFactor
	}
	return time.Duration(factor * float64(c.Work))
}

// The kinds of events. Share is a share of the existing back ends.
const (
	eventBurst  = "burst"  // the arrival rate is Factor times as high
	eventSlow   = "slow"   // a Share of them serves requests Factor times as slowly
	eventShed   = "shed"   // a Share of them rejects the share Factor of their requests
	eventGone   = "gone"   // a Share of them fails every request without running it
	eventForget = "forget" // the dispatcher is replaced by one without any state
	eventJoin   = "join"   // new ones join, as many as Share says, slowed down by Factor for Duration
	// A Share of them is evacuated for Duration and returns cold, slowed down by Factor.
	eventEvacuate = "evacuate"
	// The processes of a Share of them exit; they start again after Duration, one after the other
	// with Interval in between, cold and slowed down by Factor. With "exit-zone", it is those of
	// one zone.
	eventExit     = "exit"
	eventExitZone = "exit-zone"
)

// PatternEvent is an event of a pattern.
type PatternEvent struct {
	Kind     string          `toml:"kind"`
	At       config.Duration `toml:"at"`
	Duration config.Duration `toml:"for"`
	Share    float64         `toml:"share"`
	Factor   float64         `toml:"factor"`
	Interval config.Duration `toml:"apart"`
}

// LoadPattern reads a pattern from a file.
func LoadPattern(path string) (Pattern, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return Pattern{}, errors.Annotate(err, "pattern")
	}
	var pattern Pattern
	err = config.DecodeStrictTOML(path, text, &pattern)
	return pattern, err
}
