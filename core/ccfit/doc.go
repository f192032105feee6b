// Package ccfit decides whether a task should take a worker that is free or wait for a
// faster one, by the time at which it is expected to end.
//
// A worker is taken only if the task ends there as well, by Score, as it would on the
// fastest worker that it may use. Otherwise the worker is left to a job that can use it.
// As time passes, the score on the fastest worker falls to that on the others, so no task
// waits for it any longer than it could be worth.
//
// # Usage
//
//	task := ccfit.Task{Waited: waited, Expected: expected, Objective: objective, Limit: limit}
//	if task.Score(slowdown) <= task.Score(paces.Fastest(service, "", rack, awayFactor)) {
//		// Place the task.
//	}
package ccfit
