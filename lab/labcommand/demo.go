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

	"github.com/tuliphall/tuliphall/config"
	"github.com/tuliphall/tuliphall/daemon"
	"github.com/tuliphall/tuliphall/lab/backendstub"
	"github.com/tuliphall/tuliphall/objectstore"
	"github.com/tuliphall/tuliphall/standalone"
)

// demo runs the daemon of a standalone file in front of example back ends at the
// addresses that the file places.
type demo struct {
	out  io.Writer
	File string `long:"standalone" default:"examples/standalone.toml" description:"standalone file"`
}

// Execute implements flags.Commander.
func (c *demo) Execute([]string) error {
	options, err := standalone.Load(c.File)
	if err != nil {
		return err
	}
	stop, err := exampleBackends(options)
	if err != nil {
		return err
	}
	defer stop()
	options.LogOutput = os.Stdout
	running, err := daemon.Start(options)
	if err != nil {
		return err
	}
	fmt.Fprintf(c.out, "try: curl -i http://%s/prices/today\n", running.Addresses().Caller)
	ctx, release := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer release()
	<-ctx.Done()
	return running.Stop(context.Background())
}

// exampleBackends serves a stand-in at each address that the options place.
func exampleBackends(options daemon.Options) (stop func(), err error) {
	store, ok := options.Store.(*objectstore.Memory)
	if !ok {
		return nil, fmt.Errorf("standalone without a store in memory")
	}
	document, err := documentOf(store)
	if err != nil {
		return nil, err
	}
	servers := make(map[string]*http.Server)
	stop = func() {
		for _, server := range servers {
			server.Close()
		}
	}
	for _, placement := range document.Content.Placements {
		for _, placed := range placement.Backends {
			if servers[placed.Address] != nil {
				continue
			}
			listener, err := net.Listen("tcp", placed.Address)
			if err != nil {
				stop()
				return nil, err
			}
			stub := backendstub.New(backendstub.Options{MeanServiceTime: 5 * time.Millisecond, Seed: uint64(len(servers))})
			server := &http.Server{Handler: stub.Handler()}
			servers[placed.Address] = server
			go func() { _ = server.Serve(listener) }()
		}
	}
	return stop, nil
}

func documentOf(store objectstore.Store) (config.Document, error) {
	document, _, err := config.Load(context.Background(), store)
	return document, err
}
