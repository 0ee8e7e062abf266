package dispatch

import (
	"time"

	"github.com/tuliphall/tuliphall/routing"
)

// SetGradualReturn sets whether back ends whose processes have exited return gradually; see
// config.Service.GradualReturn.
func (d *Dispatcher) SetGradualReturn(enabled bool) {
	d.change(func() {
		d.standby.gradualReturn = enabled
		d.core.Group.SetGradualReturn(enabled)
	})
}

// OnReturn sets the callback for a change of the return of back ends: the first one begins to
// return, the last one has returned, or the ceiling of cold back ends changes. It must be called
// before the first request; the callback must not block.
func (d *Dispatcher) OnReturn(callback func(status routing.ReturnStatus)) {
	d.onReturn = callback
}

// notifyReturn calls the callback of OnReturn if the status differs from the last one by more than
// the number of back ends. The caller must hold the mutex.
func (d *Dispatcher) notifyReturn(now time.Time) {
	status := d.core.Group.ReturnStatus(now)
	last := d.lastReturn
	if (status.Returning > 0) == (last.Returning > 0) && status.Ceiling == last.Ceiling {
		return
	}
	d.lastReturn = status
	if status.Returning > 0 || last.Returning > 0 {
		d.onReturn(status)
	}
}
