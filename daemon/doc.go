// Package daemon assembles a load balancer process: it creates the components
// from the settings, starts a goroutine for each task, and stops them in an
// order that does not abort requests in flight.
package daemon
