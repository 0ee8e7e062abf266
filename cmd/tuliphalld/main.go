// Command tuliphalld is the load balancer's daemon. It runs on each entry
// machine; see docs/operations/running.md.
package main

import (
	"os"

	"github.com/tuliphall/tuliphall/launch"
)

func main() {
	os.Exit(launch.Run(os.Args[1:]))
}
