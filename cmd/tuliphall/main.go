// Command tuliphall is the operators' command line. It declares services, placements and
// policies, and shows what is in force. See docs/operations/command.md.
package main

import (
	"fmt"
	"os"

	"github.com/tuliphall/tuliphall/command"
)

func main() {
	code, err := command.Run(os.Args[1:], os.Stdout)
	if err != nil {
		fmt.Fprintln(os.Stderr, "tuliphall:", err)
	}
	os.Exit(code)
}
