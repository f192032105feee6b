package ccstore

// Paths of the HTTP API. Keys and prefixes are passed as query parameters so
// that a key may contain any character.
const (
	PathKey   = "/v1/key"
	PathKeys  = "/v1/keys"
	PathWatch = "/v1/watch"
	PathLease = "/v1/lease"
)

// Query parameters of the HTTP API.
const (
	ParamKey      = "key"
	ParamPrefix   = "prefix"
	ParamExpected = "expected"
	ParamRevision = "revision"
	ParamWait     = "wait"
	ParamLease    = "lease"
)
