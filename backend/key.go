package backend

// Key names a back end of a service.
type Key struct {
	Service string
	Backend string
}
