package ccshare

// Route identifies a route. Shares apply among the routes of the same priority.
type Route struct {
	Name     string
	Priority int
}
