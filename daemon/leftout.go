package daemon

import (
	"context"

	"github.com/uber-go/tally/v4"

	"github.com/tuliphall/tuliphall/logging"
)

// reportLeftOut logs and counts the lines that the bound of the log left out, until
// ctx ends.
func (d *Daemon) reportLeftOut(ctx context.Context, scope tally.Scope) {
	logging.ReportDropped(ctx, d.logger, d.logBound, func(kind string, lines int) {
		scope.Tagged(map[string]string{"kind": kind}).Counter("log_lines_left_out").Inc(int64(lines))
	})
}
