package daemon

import (
	"context"

	"github.com/uber-go/tally/v4"

	"github.com/tuliphall/tuliphall/logging"
)

// reportDroppedLines logs and counts the log lines dropped by the rate limit of the log,
// until ctx ends.
func (d *Daemon) reportDroppedLines(ctx context.Context, scope tally.Scope) {
	logging.ReportDropped(ctx, d.logger, d.logLimit, func(kind string, lines int) {
		scope.Tagged(map[string]string{"kind": kind}).Counter("log_lines_left_out").Inc(int64(lines))
	})
}
