package main

import (
	"net/http"

	"github.com/bilberrylink/bilberrylink/platform"
	"github.com/bilberrylink/bilberrylink/platform/platformhttp"
)

// platformServices returns clients of the platform's services.
func platformServices(url string, client *http.Client) platform.Services {
	return platformhttp.New(url, client)
}
