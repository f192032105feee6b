package ccmetric

import (
	"strings"
	"sync"
)

// names holds the results of Name. There is one for each kind of log message.
var names sync.Map

// Name converts a log message to a metric name in camel case: "Run is moved."
// becomes runIsMoved.
func Name(message string) string {
	if name, ok := names.Load(message); ok {
		return name.(string)
	}
	name := camelCase(message)
	names.Store(message, name)
	return name
}

func camelCase(message string) string {
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
