package intake

// Sizes are the bounds of a budget. Zero: unlimited.
type Sizes struct {
	Bytes       int64 // that all callers together may make the process hold
	Connections int
}

// Costs and shares from which the sizes follow.
const (
	// memoryShare is the share of the machine's memory for the bytes of callers, and the same again for their connections. The other half
	// is for the program, its configuration and view of the fleet, and what the garbage collector has not collected yet.
	memoryShare = 4
	// connectionCost is what a connection costs at most besides the budget for bytes: 16 KB of the process (two stacks, two buffers), and 48 KB that
	// the kernel has received of the caller and 32 KB that it has received of an endpoint for it while the process does not read.
	connectionCost = 96 << 10
	// ReceiveBuffer is the size of the kernel's receive buffer of a connection with a caller or an endpoint. The kernel doubles it and counts its
	// overhead, too.
	ReceiveBuffer = 32 << 10
	// SendBuffer is the size of the kernel's send buffer.
	SendBuffer = 32 << 10
	// fileReserve is the number of descriptors that the platform reserves for files.
	fileReserve = 200
	// processReserve is the number of descriptors for the store, peers, and the listeners that callers do not use.
	processReserve = 200
	// Of the other descriptors, three of eight are for callers, as many for the endpoint connections of their requests, and two for idle
	// connections to endpoints.
	callerDescriptors, idleDescriptors, allDescriptors = 3, 2, 8
	// minConnections is the smallest bound of connections, however little the machine has.
	minConnections = 16
)

// Shares of the budget that one holder may take, as parts of shareWhole.
const (
	shareWhole = 12
	// connectionShare lets a connection hold the largest body (4 MB) and the longest answer (8 MB) on the smallest machine (160 MB).
	connectionShare = 4
	addressShare    = 6 // of an address, for connections and for the bytes of large requests; load balancers have few addresses
	workspaceShare  = 6 // of a workspace, for the same bytes
	smallShare      = 9 // of an address or a workspace, for small requests and all that it holds besides
	largeShare      = 9 // of all requests above SmallRequestBytes; the rest is the reserve for smaller ones
)

// SmallRequestBytes is what a request holds at most that may use the reserve. Bodies of normal load have up to 150 KB.
const SmallRequestBytes = 192 << 10

// maxUnstatedBytes is the same for a request that does not state its length: a crowd of large ones would fill the reserve with their beginnings.
const maxUnstatedBytes = 64 << 10

// HeadCost is the number of bytes that a byte of a head takes: the buffer, the parsed fields, their copy for endpoints and its encoding.
const HeadCost = 4

// FieldCost is what a field of a head costs besides: its entries in two maps.
const FieldCost = 256

// RequestCost is what a request costs besides its head, body and answer: its state, a connection to an endpoint and its buffers.
const RequestCost = 16 << 10

// SizesFor returns the sizes for a machine. Zero: not stated, which leaves what depends on it unlimited.
func SizesFor(memoryBytes int64, descriptors int) Sizes {
	s := Sizes{Bytes: memoryBytes / memoryShare}
	if memoryBytes > 0 {
		s.Connections = max(int(memoryBytes/memoryShare/connectionCost), minConnections)
	}
	if descriptors > 0 {
		byDescriptors := max((descriptors-fileReserve-processReserve)*callerDescriptors/allDescriptors, minConnections)
		if s.Connections == 0 || byDescriptors < s.Connections {
			s.Connections = byDescriptors
		}
	}
	return s
}

// IdleEndpointConnections returns the number of idle connections to endpoints that a machine with a number of descriptors may keep. Zero: not
// stated, unlimited.
func IdleEndpointConnections(descriptors int) int {
	if descriptors <= 0 {
		return 0
	}
	return max((descriptors-fileReserve-processReserve)*idleDescriptors/allDescriptors, minConnections)
}

func share[T int | int64](whole, parts T) T { return whole * parts / shareWhole }
