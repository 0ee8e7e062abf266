package daemon

import "github.com/tuliphall/tuliphall/backendlimit"

// isDeclared says whether a back end is declared.
func (d *Daemon) isDeclared(key backendlimit.Key) bool {
	running, ok := d.services.Find(key.Service)
	return ok && running.Declares(key.Backend)
}

// applyLimit puts a back end's limit in force. So far it is seen only: nothing heeds it.
func (d *Daemon) applyLimit(backendlimit.Word) {}

// tellLimit tells the other daemons of a back end's limit. So far nobody is told.
func (d *Daemon) tellLimit(backendlimit.Word) {}
