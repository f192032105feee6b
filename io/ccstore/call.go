package ccstore

// Call identifies a Store method.
type Call string

// Calls, one for each method of Store.
const (
	CallGet    Call = "get"
	CallList   Call = "list"
	CallSwap   Call = "swap"
	CallDelete Call = "delete"
	CallWatch  Call = "watch"
	CallGrant  Call = "grant"
	CallRenew  Call = "renew"
	CallRevoke Call = "revoke"
)

// Writes reports whether the call may modify the store. If the response to such
// a call is lost, its effect is unknown.
func (c Call) Writes() bool {
	switch c {
	case CallGet, CallList, CallWatch:
		return false
	default:
		return true
	}
}
