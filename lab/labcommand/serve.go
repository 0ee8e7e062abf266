package labcommand

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/juju/errors"

	"github.com/tuliphall/tuliphall/lab/backendstub"
	"github.com/tuliphall/tuliphall/lab/load"
	"github.com/tuliphall/tuliphall/lab/platformstub"
)

// serveUntilSignal serves on the address until the process is told to end.
func serveUntilSignal(address string, handler http.Handler) error {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return err
	}
	server := &http.Server{Handler: handler}
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	go func() {
		<-ctx.Done()
		server.Close()
	}()
	if err := server.Serve(listener); !errors.Is(err, http.ErrServerClosed) {
		return err
	}
	return nil
}

type platformServe struct {
	Listen string `long:"listen" default:"127.0.0.1:9000" description:"IP:port"`
}

// Execute implements flags.Commander.
func (c *platformServe) Execute([]string) error {
	return serveUntilSignal(c.Listen, platformstub.New().Handler())
}

type backendServe struct {
	Listen string        `long:"listen" default:"127.0.0.1:9101" description:"IP:port"`
	Slots  int           `long:"slots" default:"3" description:"requests worked on at once"`
	Work   time.Duration `long:"work" default:"5ms" description:"mean time of a request"`
	Seed   uint64        `long:"seed" default:"1" description:"start of the random choices"`
	Fault  string        `long:"fault" description:"a way to misbehave, such as reject-all"`
	Drain  bool          `long:"drain" description:"say that this back end is leaving"`
	Limit  string        `long:"request-limit" value-name:"N" description:"say that this back end takes only N requests a second"`
	Pause  string        `long:"retry-after" value-name:"SECONDS" description:"turn requests away and ask for a pause of so long"`
	Every  int           `long:"turn-away-every" value-name:"N" default:"1" description:"with --retry-after: turn away only each of so many requests"`
	Ends   string        `long:"ends-under" value-name:"PATH" description:"end as soon as a request with this path is run"`
}

// Execute implements flags.Commander.
func (c *backendServe) Execute([]string) error {
	stub := backendstub.New(backendstub.Options{Slots: c.Slots, MeanServiceTime: c.Work, Seed: c.Seed})
	stub.SetFault(backendstub.Fault(c.Fault))
	stub.SetDraining(c.Drain)
	stub.SetRequestLimit(c.Limit)
	if c.Pause != "" {
		stub.SetPushback(c.Pause, c.Every)
	}
	return serveUntilSignal(c.Listen, c.mortal(stub.Handler()))
}

// mortal lets the process end under requests with a certain path, as a crash would.
func (c *backendServe) mortal(handler http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if c.Ends != "" && r.URL.Path == c.Ends {
			os.Exit(0) // to those who are connected it is a crash, to scripts a process that ended
		}
		handler.ServeHTTP(w, r)
	})
}

type loadRun struct {
	out      io.Writer
	Targets  []string      `long:"target" required:"true" description:"caller address of a daemon; may be given several times"`
	Rate     float64       `long:"rate" default:"100" description:"requests a second"`
	Duration time.Duration `long:"duration" default:"2s" description:"how long"`
	Seed     uint64        `long:"seed" default:"1" description:"start of the random choices"`
	Method   string        `long:"method" default:"GET" description:"HTTP method"`
	Path     string        `long:"path" default:"/" description:"path"`
	Once     bool          `long:"once" description:"send an operation key with each request"`
	Key      string        `long:"key" description:"key of a tenant to send with each request"`
	Strict   bool          `long:"strict" description:"fail unless every request got its whole answer"`
}

// Execute implements flags.Commander.
func (c *loadRun) Execute([]string) error {
	result := load.Run(context.Background(), load.Options{
		Targets: c.Targets, Rate: c.Rate, Duration: c.Duration, Seed: c.Seed,
		Kinds: []load.RequestKind{{Name: "all", Method: c.Method, Path: c.Path, Share: 1, WithIdempotencyKey: c.Once, TenantKey: c.Key}},
	})
	if err := printLoad(c.out, result); err != nil {
		return err
	}
	if c.Strict && (result.Failed() > 0 || result.WrongResponses > 0) {
		return errors.Errorf("%d of %d requests failed; first: %s", result.Failed(), result.Sent, result.FirstFailure())
	}
	return nil
}

func printLoad(out io.Writer, result *load.Result) error {
	_, err := fmt.Fprintf(out, "seed %d: sent %d, answered %d, wrong %d, broken off %d, p50 %s, p99 %s, p99.9 %s\n",
		result.Seed, result.Sent, result.Answered, result.WrongResponses, result.Aborted,
		result.Quantile(50), result.Quantile(99), result.Quantile(99.9))
	return err
}

type fetchRun struct {
	out       io.Writer
	Arguments struct {
		URL string `positional-arg-name:"URL" required:"yes"`
	} `positional-args:"yes"`
}

// Execute implements flags.Commander.
func (c *fetchRun) Execute([]string) error {
	response, err := http.Get(c.Arguments.URL)
	if err != nil {
		return err
	}
	defer response.Body.Close()
	_, err = io.Copy(c.out, response.Body)
	return err
}

type sleepRun struct {
	Arguments struct {
		Wait string `positional-arg-name:"DURATION" required:"yes"`
	} `positional-args:"yes"`
}

// Execute implements flags.Commander.
func (c *sleepRun) Execute([]string) error {
	wait, err := time.ParseDuration(c.Arguments.Wait)
	if err != nil {
		return err
	}
	time.Sleep(wait)
	return nil
}
