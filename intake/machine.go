package intake

import (
	"math"
	"os"
	"runtime/debug"
	"strconv"
	"strings"

	"golang.org/x/sys/unix"
)

// runtimeMemoryShare is the part of the memory that the runtime keeps to; the rest is for
// the program itself and what the kernel holds for it.
const runtimeMemoryShare = 0.7

// startMemoryLimit is the runtime's limit that the process was started with.
var startMemoryLimit = debug.SetMemoryLimit(-1)

// NewMachine returns the given memory and descriptors, or for 0 those that the process
// may use.
func NewMachine(memoryMB, descriptors int64) Machine {
	machine := Machine{
		MemoryBytes: memoryMB * 1_000_000,
		Descriptors: descriptors,
	}
	if machine.MemoryBytes == 0 {
		machine.MemoryBytes = min(totalMemory(), startMemoryLimit)
	}
	var limit unix.Rlimit
	if err := unix.Getrlimit(unix.RLIMIT_NOFILE, &limit); err == nil {
		own := int64(min(limit.Cur, math.MaxInt64))
		if machine.Descriptors == 0 || own < machine.Descriptors {
			machine.Descriptors = own
		}
	}
	return machine
}

// LimitRuntime has the runtime collect garbage in time to stay within the memory.
func (m Machine) LimitRuntime() {
	limit := int64(runtimeMemoryShare * float64(m.MemoryBytes))
	debug.SetMemoryLimit(min(limit, startMemoryLimit))
}

// totalMemory returns the machine's memory, or the largest number if it can't be read.
func totalMemory() int64 {
	text, err := os.ReadFile("/proc/meminfo")
	if err != nil {
		return math.MaxInt64
	}
	for line := range strings.Lines(string(text)) {
		if value, found := strings.CutPrefix(line, "MemTotal:"); found {
			if kibibytes, err := strconv.ParseInt(strings.TrimSuffix(strings.TrimSpace(value), " kB"), 10, 64); err == nil {
				return kibibytes << 10
			}
		}
	}
	return math.MaxInt64
}
