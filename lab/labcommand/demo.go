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

// demoCommand runs the daemon of a standalone file in front of example back ends, which
// listen at the addresses of the file's placements.
type demoCommand struct {
	out  io.Writer
	File string `long:"standalone" default:"examples/standalone.toml" description:"standalone file"`
}

// Execute implements flags.Commander.
func (c *demoCommand) Execute([]string) error {
	options, err := standalone.Load(c.File)
	if err != nil {
		return err
	}
	stop, err := startExampleBackends(options)
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

// startExampleBackends starts a stub back end at each address of the placements.
func startExampleBackends(options daemon.Options) (stop func(), err error) {
	store, ok := options.Store.(*objectstore.Memory)
	if !ok {
		return nil, fmt.Errorf("standalone options have no in-memory store")
	}
	document, err := loadDocument(store)
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
		for _, backend := range placement.Backends {
			if servers[backend.Address] != nil {
				continue
			}
			listener, err := net.Listen("tcp", backend.Address)
			if err != nil {
				stop()
				return nil, err
			}
			stub := backendstub.New(backendstub.Options{MeanServiceTime: 5 * time.Millisecond, Seed: uint64(len(servers))})
			server := &http.Server{Handler: stub.Handler()}
			servers[backend.Address] = server
			go func() { _ = server.Serve(listener) }()
		}
	}
	return stop, nil
}

func loadDocument(store objectstore.Store) (config.Document, error) {
	document, _, err := config.Load(context.Background(), store)
	return document, err
}
