package ccsettings

import "fmt"

// Keys in the store. Versions have a fixed width, so that keys sort by version.
const (
	HeadKey       = "settings/head"
	HistoryPrefix = "settings/history/"
	SectionPrefix = "settings/sections/"
)

// SectionKey returns the store key of a section's revision.
func SectionKey(name, revision string) string {
	return SectionPrefix + name + "/" + revision
}

// HistoryKey returns the store key of the change that made a version.
func HistoryKey(version uint64) string {
	return fmt.Sprintf("%s%020d", HistoryPrefix, version)
}
