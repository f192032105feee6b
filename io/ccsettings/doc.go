// Package ccsettings reads and changes the settings in the store.
//
// A Reader follows the head and loads only the sections that changed. A Writer
// writes a section under a revision of its own, and then replaces the head; the
// replacement is the moment at which a change is accepted.
//
// # Usage
//
//	reader := ccsettings.NewReader(ccsettings.ReaderConfig{Store: client, Log: log})
//	err := reader.Watch(ctx, func(settings *settings.Effective) { ... })
package ccsettings
