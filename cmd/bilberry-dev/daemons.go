package main

import "github.com/bilberrylink/bilberrylink/internal/dev"

// daemons returns the modules of the entry and the agent that this build links.
func daemons() dev.Daemons { return dev.Daemons{} }
