// Package standalone configures a daemon from one file, with a store in memory
// instead of the platform's. It is for evaluation and development: nothing persists
// after the daemon ends.
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

// file holds the settings of a daemon and the objects of its configuration.
type file struct {
	settings.Settings
	config.Content
}

// Load reads and validates the file.
func Load(path string) (daemon.Options, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return daemon.Options{}, errors.Annotate(err, "standalone file")
	}
	return Decode(path, data)
}

// Decode decodes and validates the content of a file. name identifies it in errors.
func Decode(name string, text []byte) (daemon.Options, error) {
	var decoded file
	if err := config.DecodeStrictTOML(name, text, &decoded); err != nil {
		return daemon.Options{}, err
	}
	decoded.Settings.SetDefaults()
	if err := decoded.Settings.Validate(); err != nil {
		return daemon.Options{}, errors.Annotate(err, name)
	}
	if err := decoded.Content.Validate(); err != nil {
		return daemon.Options{}, config.AnnotateLine(name, text, err)
	}
	store := objectstore.NewMemory()
	document, err := config.Document{}.Advance(decoded.Content, config.Change{ID: "standalone", Author: "standalone", Summary: name})
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
	return daemon.Options{Settings: decoded.Settings, Store: store, Machines: store}, nil
}
