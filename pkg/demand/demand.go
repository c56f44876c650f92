// Package demand defines the resource vector of tasks and workers.
//
// # Usage
//
//	left := capacity.Minus(used)
//	if task.Fits(left) { ... }
package demand

// MilliCPU is a thousandth of a processor.
type MilliCPU int64

// Megabytes is an amount of memory in units of 10^6 bytes.
type Megabytes int64

// Vector is an amount of each resource.
type Vector struct {
	CPU          MilliCPU  `json:"milli-cpu"    yaml:"milli-cpu"`
	Memory       Megabytes `json:"memory-mb"    yaml:"memory-mb"`
	Accelerators int64     `json:"accelerators" yaml:"accelerators"`
}

// Plus returns the sum of v and o.
func (v Vector) Plus(o Vector) Vector {
	return Vector{v.CPU + o.CPU, v.Memory + o.Memory, v.Accelerators + o.Accelerators}
}

// Minus returns the difference of v and o.
func (v Vector) Minus(o Vector) Vector {
	return Vector{v.CPU - o.CPU, v.Memory - o.Memory, v.Accelerators - o.Accelerators}
}

// Fits reports whether v does not exceed o in any resource.
func (v Vector) Fits(o Vector) bool {
	return v.CPU <= o.CPU && v.Memory <= o.Memory && v.Accelerators <= o.Accelerators
}
