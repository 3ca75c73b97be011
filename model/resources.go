package model

// milliCoresPerCore is the number of thousandths in a core.
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
func (r Resources) Plus(other Resources) Resources {
	r.Cores += other.Cores
	r.MilliCores += other.MilliCores
	r.MemoryMB += other.MemoryMB
	r.Accelerators += other.Accelerators
	return r
}

// Minus returns the amounts less the other ones.
func (r Resources) Minus(other Resources) Resources {
	r.Cores -= other.Cores
	r.MilliCores -= other.MilliCores
	r.MemoryMB -= other.MemoryMB
	r.Accelerators -= other.Accelerators
	return r
}

// Within reports whether a capacity covers the amounts.
func (r Resources) Within(capacity Resources) bool {
	return r.TotalMilliCores() <= capacity.TotalMilliCores() &&
		r.MemoryMB <= capacity.MemoryMB &&
		r.Accelerators <= capacity.Accelerators
}

// TotalMilliCores returns the amount of CPU in thousandths of a core.
func (r Resources) TotalMilliCores() int { return r.Cores*milliCoresPerCore + r.MilliCores }
