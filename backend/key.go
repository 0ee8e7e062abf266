package backend

// Key identifies a back end of a service.
type Key struct {
	Service string
	Backend string
}
