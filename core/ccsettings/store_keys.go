package ccsettings

import "fmt"

// Keys of the store. Versions have a fixed width, so that keys sort by version.
const (
	HeadKey       = "settings/head"
	HistoryPrefix = "settings/history/"
	SectionPrefix = "settings/sections/"
)

// SectionKey returns where a section's revision is kept.
func SectionKey(name, revision string) string {
	return SectionPrefix + name + "/" + revision
}

// HistoryKey returns where the change that made a version is kept.
func HistoryKey(version uint64) string {
	return fmt.Sprintf("%s%020d", HistoryPrefix, version)
}
