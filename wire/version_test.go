package wire_test

import (
	"reflect"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/bilberrylink/bilberrylink/endpoint"
	"github.com/bilberrylink/bilberrylink/wire"
)

// A field that gets lost on the wire makes recalls judge another version than the one that answers.
func TestVersionKeepsEveryField(t *testing.T) {
	var v endpoint.Version
	fields := reflect.ValueOf(&v).Elem()
	for i := range fields.NumField() {
		fields.Field(i).SetString(fields.Type().Field(i).Name)
	}
	require.Equal(t, v, wire.DecodeVersion(wire.EncodeVersion(v)))
	require.Equal(t, endpoint.Version{}, wire.DecodeVersion(nil))
}
