// Command crocusstep routes requests to separate prefill and decode pools and
// to the plain services.
package main

import (
	"os"

	"crocusstep/start"
)

// version can be set with -ldflags "-X main.version=...".
var version = "development"

func main() {
	os.Exit(start.Run(start.Build{Version: version}, os.Args[1:], os.Stdout, os.Stderr))
}
