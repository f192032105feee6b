package ccsettings

import (
	"fmt"
	"strconv"
	"strings"
)

// NewRevision returns the revision under which a writer stores a section for a
// version. It contains the writer's unique ID, so that no writer overwrites the
// section of another.
func NewRevision(version uint64, writer string) string {
	return fmt.Sprintf("%020d-%s", version, writer)
}

// RevisionVersion returns the version for which a section's revision was written, or
// zero if the revision is malformed.
func RevisionVersion(revision string) uint64 {
	digits, _, _ := strings.Cut(revision, "-")
	version, err := strconv.ParseUint(digits, 10, 64)
	if err != nil {
		return 0
	}
	return version
}
