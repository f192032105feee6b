package ccjob

// Kind classifies why a job was refused or failed. It is part of the client API, so
// its values never change.
type Kind string

const (
	// KindInvalid is a malformed request, or one that exceeds a limit.
	KindInvalid Kind = "invalid"
	// KindUnknownService is a service that is not in the settings.
	KindUnknownService Kind = "unknownService"
	// KindTooLarge is a body, payload or task list over its limit.
	KindTooLarge Kind = "tooLarge"
	// KindConflict is a known job ID with different content.
	KindConflict Kind = "conflict"
	// KindUnprovable is a job that may have run before and can't be proved new.
	KindUnprovable Kind = "unprovable"
	// KindQuota is a team that exceeds its quota.
	KindQuota Kind = "quota"
	// KindOverload is a queue or table at its limit.
	KindOverload Kind = "overload"
	// KindNoTarget is a service with no target that may start work.
	KindNoTarget Kind = "noTarget"
	// KindUnavailable is a node that currently may not accept work.
	KindUnavailable Kind = "unavailable"
	// KindDraining is a node that is stopping.
	KindDraining Kind = "draining"
	// KindDeadline is a job whose deadline has passed.
	KindDeadline Kind = "deadline"
	// KindCanceled is a job that its client canceled.
	KindCanceled Kind = "canceled"
	// KindTaskFailed is a job with a task that ran and failed.
	KindTaskFailed Kind = "taskFailed"
	// KindLost is a job with a task whose answer is lost after it started, or that
	// may have started.
	KindLost Kind = "lost"
	// KindNotFound is an unknown job.
	KindNotFound Kind = "notFound"
)
