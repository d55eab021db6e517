// Command crocusstep routes requests to separate prefill and decode pools and
// to the plain services beside them.
package main

import (
	"os"

	"crocusstep/start"
)

// version is set by the linker.
var version = "development"

func main() {
	os.Exit(start.Run(start.Build{Version: version}, os.Args[1:], os.Stdout, os.Stderr))
}
