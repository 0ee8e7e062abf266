package simulation

import (
	"math"
	"math/rand/v2"
	"os"
	"time"

	"github.com/juju/errors"

	"github.com/tuliphall/tuliphall/config"
)

// Pattern is a load that is played to the decisions of one dispatcher.
type Pattern struct {
	// Description says which load this is.
	Description string          `toml:"answers"`
	Duration    config.Duration `toml:"duration"`
	// MessageDelay is how long a message takes between caller, daemon, dispatcher and back end.
	MessageDelay config.Duration `toml:"wire"`
	// RetryRatio and RetryBurst are the retry budget of the service.
	RetryRatio float64         `toml:"retry_ratio"`
	RetryBurst float64         `toml:"retry_burst"`
	Backends   PatternBackends `toml:"backends"`
	Classes    []PatternClass  `toml:"classes"`
	Events     []PatternEvent  `toml:"troubles"`
}

// PatternBackends are the back ends of the service.
type PatternBackends struct {
	Count int `toml:"count"`
	Slots int `toml:"slots"`
	Queue int `toml:"queue"` // requests that each queues before it refuses more
	// Knee is from how many running requests on all take KneeFactor times as long.
	Knee       int     `toml:"knee"`
	KneeFactor float64 `toml:"knee_factor"`
	// Slowdown, Noisy and Quiet are the neighbour's; see Noise.
	// WarmUp is how long a back end is cold after its start or its evacuation, and Bears how
	// many requests it bears in a second then; more than FallsOver of them, and it is gone
	// for as long. 0: none is ever cold.
	WarmUp               config.Duration `toml:"warm_up"`
	ColdRate             float64         `toml:"bears"`
	ColdFailureThreshold int             `toml:"falls_over"`
	Slowdown             float64         `toml:"slowdown"`
	Noisy                config.Duration `toml:"noisy"`
	Quiet                config.Duration `toml:"quiet"`
}

// PatternClass is one kind of requests.
type PatternClass struct {
	Name          string          `toml:"name"`
	Weight        int             `toml:"weight"`
	Repeatable    bool            `toml:"repeatable"`
	PerSecond     float64         `toml:"per_second"`
	Work          config.Duration `toml:"work"`   // mean
	LogSigma      float64         `toml:"spread"` // of its logarithm
	Objective     config.Duration `toml:"objective"`
	Deadline      config.Duration `toml:"deadline"`
	CallerRetries int             `toml:"retries"`  // of the caller
	MaxAttempts   int             `toml:"attempts"` // of the daemon
	// ImmediateRetryShare is the share of the callers that come back at once.
	ImmediateRetryShare float64 `toml:"impatient"`
}

// draw returns the work of one request.
func (c PatternClass) draw(random *rand.Rand) time.Duration {
	factor := math.Exp(c.LogSigma*random.NormFloat64() - c.LogSigma*c.LogSigma/2)
	return time.Duration(factor * float64(c.Work))
}

// The kinds of trouble.
const (
	troubleBurst  = "burst"  // Factor times as many requests
	troubleSlow   = "slow"   // a Share of the back ends works Factor times as slowly
	troubleShed   = "shed"   // a Share of them refuses a part, Factor, of the requests
	troubleGone   = "gone"   // a Share of them answers nothing
	troubleForget = "forget" // the dispatcher is replaced by one that knows nothing
	troubleJoin   = "join"   // Share more back ends join, slow at first by Factor for For
	// A Share of the back ends is evacuated for For and comes back cold, slow by Factor.
	troubleEvacuate = "evacuate"
)

// PatternEvent is what happens at a time.
type PatternEvent struct {
	Kind     string          `toml:"kind"`
	At       config.Duration `toml:"at"`
	Duration config.Duration `toml:"for"`
	Share    float64         `toml:"share"`
	Factor   float64         `toml:"factor"`
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
