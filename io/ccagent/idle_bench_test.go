package ccagent

import (
	"fmt"
	"runtime"
	"syscall"
	"testing"
	"time"

	"camphorcroft/io/ccstandin"
)

// BenchmarkIdle measures what agents without work cost: messages of the cells,
// processor time and memory, and calls to the store. Each iteration is a second
// of real time, so give a fixed number of them: -benchtime 10x.
func BenchmarkIdle(b *testing.B) {
	const perCell = 30
	for _, size := range []int{30, 100, 300} {
		b.Run(fmt.Sprintf("agents=%d", size), func(b *testing.B) {
			memory := heapBytes()
			store := ccstandin.NewStore(ccstandin.StoreConfig{})
			cells := (size + perCell - 1) / perCell
			var agents []*Agent
			for i := range size {
				agent := newAgent(b, store, loopback, fmt.Sprintf("agent-%04d", i))
				agents = append(agents, agent)
				agent.post(func(now time.Time) { agent.setView(now, testView(1, cells)) })
			}
			for _, agent := range agents {
				for !ask(agent, func() bool { return agent.cells.own.Machine().Joined() }) {
					time.Sleep(5 * time.Millisecond)
				}
			}
			time.Sleep(3 * time.Second) // Until the records of the cells are written.
			bytes, calls, cpu := controlBytes(agents), storeCalls(agents), cpuTime()
			began := time.Now()
			for b.Loop() {
				time.Sleep(time.Second)
			}
			seconds := time.Since(began).Seconds()
			agentSeconds := seconds * float64(size)
			b.ReportMetric(float64(controlBytes(agents)-bytes)/agentSeconds, "controlBytes/s/agent")
			b.ReportMetric(float64(storeCalls(agents)-calls)/seconds, "storeCalls/s")
			b.ReportMetric((cpuTime()-cpu).Seconds()/agentSeconds*100, "%core/agent")
			b.ReportMetric(float64(heapBytes()-memory)/float64(size)/1024, "KB/agent")
			b.ReportMetric(0, "ns/op")
			for _, agent := range agents {
				agent.Kill()
			}
		})
	}
}

// controlBytes counts each message once, where it was sent.
func controlBytes(agents []*Agent) (sum int64) {
	for _, agent := range agents {
		sum += agent.stats.controlBytesOut.Value()
	}
	return sum
}

func storeCalls(agents []*Agent) (sum int64) {
	for _, agent := range agents {
		sum += agent.stats.storeCalls.Value()
	}
	return sum
}

func cpuTime() time.Duration {
	var usage syscall.Rusage
	_ = syscall.Getrusage(syscall.RUSAGE_SELF, &usage)
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}

func heapBytes() int64 {
	runtime.GC()
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return int64(stats.HeapAlloc)
}
