// Command tuliphalld is the load balancer's daemon, which runs on each entry machine. See
// docs/operations/running.md.
package main

import (
	"os"

	"github.com/tuliphall/tuliphall/launch"
)

func main() {
	os.Exit(launch.Run(os.Args[1:]))
}
