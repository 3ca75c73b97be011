package model

// milliCoresPerCore converts whole cores.
const milliCoresPerCore = 1000

// Resources are amounts of CPU, memory and accelerators, such as the needs of a
// task or the capacity of a worker. MilliCores are thousandths of a core, in
// addition to Cores.
type Resources struct {
	Cores        int `json:"cores,omitempty"`
	MilliCores   int `json:"milliCores,omitempty"`
	MemoryMB     int `json:"memoryMB,omitempty"`
	Accelerators int `json:"accelerators,omitempty"`
}

// Plus returns the sum of two amounts.
func (n Resources) Plus(other Resources) Resources {
	n.Cores += other.Cores
	n.MilliCores += other.MilliCores
	n.MemoryMB += other.MemoryMB
	n.Accelerators += other.Accelerators
	return n
}

// Minus returns the amounts less the other ones.
func (n Resources) Minus(other Resources) Resources {
	n.Cores -= other.Cores
	n.MilliCores -= other.MilliCores
	n.MemoryMB -= other.MemoryMB
	n.Accelerators -= other.Accelerators
	return n
}

// Within reports whether a capacity covers the amounts.
func (n Resources) Within(capacity Resources) bool {
	return n.TotalMilliCores() <= capacity.TotalMilliCores() &&
		n.MemoryMB <= capacity.MemoryMB &&
		n.Accelerators <= capacity.Accelerators
}

// TotalMilliCores returns the amount of CPU in thousandths of a core.
func (n Resources) TotalMilliCores() int { return n.Cores*milliCoresPerCore + n.MilliCores }
