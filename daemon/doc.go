// Package daemon puts the parts of a load balancer process together: it builds
// them from the settings, starts a goroutine for each duty, and stops them in
// the order that cuts no request in flight.
package daemon
