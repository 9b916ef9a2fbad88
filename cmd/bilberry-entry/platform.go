package main

import (
	"net/http"

	"github.com/bilberrylink/bilberrylink/platform"
)

// platformServices connects the platform's services. It returns none until package platformhttp is linked in.
func platformServices(_ string, _ *http.Client) platform.Services { return platform.Services{} }
