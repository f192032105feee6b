// Package ccdemand decides how an agent distributes the capacity that falls free over the
// entries, by what waits in the whole fleet.
//
// An entry describes its queue in a few rows, a summary: Add groups the waiting tasks, Predict
// says how long each row is expected to last, and Encode packs the rows for the message. The
// agent unpacks them with Decode, which rejects what no entry can mean, and Distribute grants
// free capacity to the claims of all entries: to the most urgent rows first, and among equally
// urgent ones in proportion to their tasks.
//
// # Usage
//
//	rows = ccdemand.Add(rows, ccdemand.Row{Priority: 1, Tasks: 8, Need: need})
//	message := ccdemand.Encode(ccdemand.Predict(rows, tasksPerSecond))
//
//	rows, err := ccdemand.Decode(message)
//	claim := &ccdemand.Claim{Rows: rows, Limit: 64}
//	ccdemand.Distribute(free, []*ccdemand.Claim{claim})
package ccdemand
