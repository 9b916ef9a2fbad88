package wire

import "github.com/bilberrylink/bilberrylink/endpoint"

// EncodeVersion returns the message of a version.
func EncodeVersion(v endpoint.Version) *Version {
	return &Version{Model: v.Model, Version: v.Version, Adapter: v.Adapter, Batch: v.Batch,
		AdapterVersion: v.AdapterVersion, AdapterBatch: v.AdapterBatch}
}

// DecodeVersion returns the version of a message; a nil message gives the zero version.
func DecodeVersion(v *Version) endpoint.Version {
	return endpoint.Version{Model: v.GetModel(), Version: v.GetVersion(), Adapter: v.GetAdapter(), Batch: v.GetBatch(),
		AdapterVersion: v.GetAdapterVersion(), AdapterBatch: v.GetAdapterBatch()}
}
