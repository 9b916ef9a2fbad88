package wire

import "github.com/bilberrylink/bilberrylink/endpoint"

// EncodeVersion converts a version to its message.
func EncodeVersion(v endpoint.Version) *Version {
	return &Version{Model: v.Model, Version: v.Version, Adapter: v.Adapter, Batch: v.Batch,
		AdapterVersion: v.AdapterVersion, AdapterBatch: v.AdapterBatch}
}

// DecodeVersion converts a message to a version. It returns the zero version for a nil message.
func DecodeVersion(v *Version) endpoint.Version {
	return endpoint.Version{Model: v.GetModel(), Version: v.GetVersion(), Adapter: v.GetAdapter(), Batch: v.GetBatch(),
		AdapterVersion: v.GetAdapterVersion(), AdapterBatch: v.GetAdapterBatch()}
}
