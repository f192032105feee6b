package ccsettings

import (
	"fmt"
	"strconv"
	"strings"
)

// NewRevision returns the revision of a section that a writer means for a version.
// No two writers share one, so that none overwrites another's section.
func NewRevision(version uint64, writer string) string {
	return fmt.Sprintf("%020d-%s", version, writer)
}

// RevisionVersion returns the version that a section's revision was written for.
// It is zero if the revision has another form.
func RevisionVersion(revision string) uint64 {
	digits, _, _ := strings.Cut(revision, "-")
	version, err := strconv.ParseUint(digits, 10, 64)
	if err != nil {
		return 0
	}
	return version
}
