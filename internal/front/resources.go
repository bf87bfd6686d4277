package front

import (
	"runtime"
	"syscall"
	"time"
)

// processorTime returns the processor time that this process has used, or 0 if the system does not tell it.
func processorTime() time.Duration {
	var usage syscall.Rusage
	if syscall.Getrusage(syscall.RUSAGE_SELF, &usage) != nil {
		return 0
	}
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}

// memoryInUse returns the bytes that the Go runtime has obtained from the system and not returned.
func memoryInUse() uint64 {
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return stats.Sys - stats.HeapReleased
}
