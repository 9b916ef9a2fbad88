package wire

import "github.com/bilberrylink/bilberrylink/endpoint"

// FromVersion returns the message of a version.
func FromVersion(v endpoint.Version) *Version {
	return &Version{Model: v.Model, Version: v.Version, Adapter: v.Adapter, Batch: v.Batch,
		AdapterVersion: v.AdapterVersion, AdapterBatch: v.AdapterBatch}
}

// ToVersion returns the version of a message; a nil message gives the zero version.
func ToVersion(v *Version) endpoint.Version {
	return endpoint.Version{Model: v.GetModel(), Version: v.GetVersion(), Adapter: v.GetAdapter(), Batch: v.GetBatch(),
		AdapterVersion: v.GetAdapterVersion(), AdapterBatch: v.GetAdapterBatch()}
}
