package cclimit

import "strings"

// maxErrorText is the length in bytes of an error's text from which the rest is left out.
const maxErrorText = 200

// ErrorText returns an error's text, or its begin if it is long. Errors of decoders quote the
// value that they can't decode, which may be as long as the body.
func ErrorText(err error) string {
	text := err.Error()
	if len(text) <= maxErrorText {
		return text
	}
	return strings.ToValidUTF8(strings.Clone(text[:maxErrorText]), "") + "…"
}
