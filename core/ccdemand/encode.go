package ccdemand

import (
	"encoding/binary"
	"time"

	"camphorcroft/core/ccresource"
)

// formatVersion is the first byte of an encoded summary.
const formatVersion = 1

const (
	// maxTasks is more than 10,000 jobs of an entry with 1,000 tasks each have.
	maxTasks = 1 << 24
	// maxPriority is more than any priority of a configuration.
	maxPriority = 1 << 53
	// maxAmount limits the need of a task in any resource. The sum for all tasks that are
	// offered at once stays far below the limit of the type.
	maxAmount = 1 << 40
	// maxLasts is far above the time for which an agent keeps a summary.
	maxLasts = 10 * time.Second
)

// rowNumbers is how many numbers each row has.
const rowNumbers = 7

// Encode packs the first MaxRows rows: the version and the number of rows, then the numbers of
// each row as varints.
func Encode(rows []Row) []byte {
	rows = rows[:min(len(rows), MaxRows)]
	data := make([]byte, 0, 2+2*rowNumbers*len(rows))
	data = append(data, formatVersion, byte(len(rows)))
	for _, r := range rows {
		for _, n := range r.numbers() {
			data = binary.AppendUvarint(data, uint64(n))
		}
	}
	return data
}

func (r *Row) numbers() [rowNumbers]int64 {
	late := int64(0)
	if r.Late {
		late = 1
	}
	return [rowNumbers]int64{late, int64(r.Priority), int64(r.Tasks), r.Need.CPU, r.Need.Memory, r.Need.Accelerators, r.Lasts.Milliseconds()}
}

// Decode unpacks the rows of a summary that another process has sent.
func Decode(data []byte) ([]Row, error) {
	const op = "decode summary"
	if len(data) < 2 {
		return nil, &Error{Op: op, Kind: ErrorLength}
	}
	if data[0] != formatVersion {
		return nil, &Error{Op: op, Kind: ErrorVersion}
	}
	count := int(data[1])
	if count == 0 || count > MaxRows {
		return nil, &Error{Op: op, Kind: ErrorLength}
	}
	data = data[2:]
	rows := make([]Row, count)
	for i := range rows {
		var n [rowNumbers]uint64
		for k := range n {
			value, size := binary.Uvarint(data)
			if size <= 0 {
				return nil, &Error{Op: op, Kind: ErrorLength}
			}
			n[k], data = value, data[size:]
		}
		if !inRange(n) {
			return nil, &Error{Op: op, Kind: ErrorRange}
		}
		rows[i] = Row{
			Late: n[0] == 1, Priority: int(n[1]), Tasks: int(n[2]), Lasts: time.Duration(n[6]) * time.Millisecond,
			Need: ccresource.Amount{CPU: int64(n[3]), Memory: int64(n[4]), Accelerators: int64(n[5])},
		}
		if i > 0 && Compare(rows[i-1], rows[i]) >= 0 {
			return nil, &Error{Op: op, Kind: ErrorOrder}
		}
	}
	if len(data) > 0 {
		return nil, &Error{Op: op, Kind: ErrorLength}
	}
	return rows, nil
}

// inRange reports whether the numbers of a row are possible.
func inRange(n [rowNumbers]uint64) bool {
	limits := [rowNumbers]uint64{1, maxPriority, maxTasks, maxAmount, maxAmount, maxAmount, uint64(maxLasts / time.Millisecond)}
	for k, limit := range limits {
		if n[k] > limit {
			return false
		}
	}
	return n[2] >= 1
}
