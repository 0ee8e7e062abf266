// Command lab runs the project's stand-ins, load and experiments.
package main

import (
	"fmt"
	"os"

	"github.com/tuliphall/tuliphall/lab/labcommand"
)

func main() {
	if err := labcommand.Run(os.Args[1:], os.Stdout); err != nil {
		fmt.Fprintln(os.Stderr, "lab:", err)
		os.Exit(1)
	}
}
