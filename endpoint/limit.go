package endpoint

import (
	"math"
	"net/http"
	"strconv"
	"strings"
)

// HeaderLimit names the requests a second that an endpoint in need takes, in its answers and for as long as these say so.
const HeaderLimit = "Server-Limit"

// Limit is what the latest answer of an endpoint says of the requests that it takes.
type Limit struct {
	Stated    bool
	PerSecond float64 // requests per second, if Stated
}

// LimitOf returns the limit in the header of an answer. A limit that cannot be read is none.
func LimitOf(header http.Header) Limit {
	perSecond, err := strconv.ParseFloat(strings.TrimSpace(header.Get(HeaderLimit)), 64)
	if err != nil || !(perSecond >= 0) || math.IsInf(perSecond, 0) {
		return Limit{}
	}
	return Limit{Stated: true, PerSecond: perSecond}
}

// Limited is implemented by clients of endpoints that may state a limit.
type Limited interface {
	// Limit returns what the latest answer says.
	Limit() Limit
}
