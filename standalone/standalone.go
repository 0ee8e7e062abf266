// Package standalone runs a daemon from one file, with the platform's store
// replaced by one in memory. It is for trying tuliphall out and for development;
// nothing is kept when the daemon ends.
package standalone

import (
	"context"
	"os"

	"github.com/juju/errors"

	"github.com/tuliphall/tuliphall/config"
	"github.com/tuliphall/tuliphall/daemon"
	"github.com/tuliphall/tuliphall/objectstore"
	"github.com/tuliphall/tuliphall/settings"
)

// file holds a daemon's settings and the objects it serves.
type file struct {
	settings.Settings
	config.Content
}

// Load reads and checks the file.
func Load(path string) (daemon.Options, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return daemon.Options{}, errors.Annotate(err, "standalone file")
	}
	return Decode(path, text)
}

// Decode reads the file from a text; name stands for it in errors.
func Decode(name string, text []byte) (daemon.Options, error) {
	var read file
	if err := config.DecodeStrictTOML(name, text, &read); err != nil {
		return daemon.Options{}, err
	}
	read.Settings.SetDefaults()
	if err := read.Settings.Validate(); err != nil {
		return daemon.Options{}, errors.Annotate(err, name)
	}
	if err := read.Content.Validate(); err != nil {
		return daemon.Options{}, config.AnnotateLine(name, text, err)
	}
	store := objectstore.NewMemory()
	document, err := config.Document{}.Advance(read.Content, config.Change{ID: "standalone", Author: "standalone", Summary: name})
	if err != nil {
		return daemon.Options{}, err
	}
	data, err := document.Encode()
	if err != nil {
		return daemon.Options{}, err
	}
	if _, err := store.Put(context.Background(), config.HeadKey, data, 0); err != nil {
		return daemon.Options{}, errors.Annotate(err, name)
	}
	return daemon.Options{Settings: read.Settings, Store: store, Machines: store}, nil
}
