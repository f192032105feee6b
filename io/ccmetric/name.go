package ccmetric

import "strings"

// Name converts a log message to a metric name in camel case: "Run is moved."
// becomes runIsMoved.
func Name(message string) string {
	words := strings.Fields(strings.TrimSuffix(message, "."))
	for i, word := range words {
		if i == 0 {
			words[i] = strings.ToLower(word)
		} else {
			words[i] = strings.ToUpper(word[:1]) + word[1:]
		}
	}
	return strings.Join(words, "")
}
