package model

// milliCoresPerCore converts whole cores.
const milliCoresPerCore = 1000

// Needs lists the resources that a task claims on a worker. MilliCores are
// thousandths of a core and come on top of Cores.
type Needs struct {
	Cores        int `json:"cores,omitempty"`
	MilliCores   int `json:"milliCores,omitempty"`
	MemoryMB     int `json:"memoryMB,omitempty"`
	Accelerators int `json:"accelerators,omitempty"`
}

// Plus returns the sum of two needs.
func (n Needs) Plus(other Needs) Needs {
	n.Cores += other.Cores
	n.MilliCores += other.MilliCores
	n.MemoryMB += other.MemoryMB
	n.Accelerators += other.Accelerators
	return n
}

// Minus returns what is left of needs without the other ones.
func (n Needs) Minus(other Needs) Needs {
	n.Cores -= other.Cores
	n.MilliCores -= other.MilliCores
	n.MemoryMB -= other.MemoryMB
	n.Accelerators -= other.Accelerators
	return n
}

// Within reports whether a capacity covers the needs.
func (n Needs) Within(capacity Needs) bool {
	return n.Processor() <= capacity.Processor() &&
		n.MemoryMB <= capacity.MemoryMB &&
		n.Accelerators <= capacity.Accelerators
}

// Processor returns the claim on processors in thousandths of a core.
func (n Needs) Processor() int { return n.Cores*milliCoresPerCore + n.MilliCores }
