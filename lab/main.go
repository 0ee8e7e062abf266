// Command lab runs the stubs, load generators and experiments of the project.
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
