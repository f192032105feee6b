package cclease

import "fmt"

// otherWorkerReason returns why an order that names a worker is not for the present one, or "".
// An entry places by the last report that it has read. Orders that were placed before the worker
// came back as another kind may arrive after that.
func (m *Manager) otherWorkerReason(named uint32) string {
	if named == 0 || m.worker == nil || m.workerInfo == nil || named == m.workerNumber {
		return ""
	}
	return fmt.Sprintf("placed for worker %d, and %s is %d since %d ms", named, m.worker.ID, m.workerNumber, m.worker.StartTime.UnixMilli())
}
