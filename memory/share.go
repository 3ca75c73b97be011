package memory

// Limits bound what callers can make a process hold.
type Limits struct {
	// Connections is the number of connections that are open at once.
	Connections int

	// Bytes is the number of bytes of requests that are held at once, in addition to ConnectionBytes for
	// each connection.
	Bytes int64
}

const (
	// ConnectionBytes is the memory of an open connection: the buffer of its header, FreeBytes of a body,
	// the bytes that the kernel has received for it, see ReceiveBuffer, and the stack that serves it.
	ConnectionBytes = 64 << 10

	// FreeBytes is the number of bytes of a request that need no room in the budget. Requests of ordinary
	// callers are smaller, so that other callers' requests do not delay them.
	FreeBytes = 8 << 10

	// ReceiveBuffer is the size that is set for the receive buffer of a caller's socket, in bytes. Linux
	// doubles it for its own overhead.
	ReceiveBuffer = 32 << 10

	// unknownBytes is the limit of bytes if the memory of the machine is not known: the share of a machine
	// of 512 MiB.
	unknownBytes = 64 << 20

	// connectionShare and requestShare are the parts of the memory for connections and for the bytes of
	// requests. The rest is for jobs, for the state of the process, and for memory that is not collected
	// yet.
	connectionShare = 4
	requestShare    = 8

	// descriptorShare is the part of the descriptors for connections of callers. The rest is for files,
	// and for connections to workers, to peers, to the store and of operators.
	descriptorShare = 2
)

// Share returns the limits on a machine with the given memory in bytes and number of descriptors, either
// of which is 0 if it is not known, for a process that accepts at most the given number of connections.
// It answers to the load of callers that open as many connections, and send as much, as they can.
func Share(memory int64, descriptors, connections int) Limits {
	l := Limits{Connections: connections, Bytes: unknownBytes}
	if descriptors > 0 {
		l.Connections = min(l.Connections, max(descriptors/descriptorShare, 1))
	}
	if memory > 0 {
		l.Connections = min(l.Connections, max(int(memory/connectionShare/ConnectionBytes), 1))
		l.Bytes = memory / requestShare
	}
	return l
}

// CollectAt returns the memory in bytes at which the garbage collector of the process has to run, on a
// machine with the given memory in bytes. The collector does not count the program itself and memory
// that the kernel holds for the process.
func CollectAt(memory int64) int64 { return memory / 4 * 3 }
