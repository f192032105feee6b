package ccsettings

import (
	"bytes"
	"encoding/json"
	"errors"
	"testing"
)

// FuzzSettings parses arbitrary texts as the sections of two teams and the chair and
// merges those that are valid. Encoding and decoding the result must give the same
// bytes, and merging must be deterministic.
func FuzzSettings(f *testing.F) {
	f.Add([]byte("services:\n  s: {slots: 4, ejectFor: 5s}\n"), []byte("services:\n  s: {slots: 5}\n"), []byte("votes:\n  services.s.slots: {team: one}\n"))
	f.Add([]byte("domains:\n  north: {out: true}\n"), []byte("# nothing\n"), []byte("domains:\n  north:\n    out: false\n"))
	f.Add([]byte("a: &a [*a]\n"), []byte("services: {s: {weights: {north: .nan}}}\n"), []byte("---\n"))
	f.Add([]byte("services: {s: {ejectFor: 99999999h}}\nservices: {}\n"), []byte("teams: {t: {share: 1e400}}\n"), []byte("votes: {x: }\n"))
	f.Add([]byte(""), []byte("? {}\n: 1\n"), []byte("!!binary x: y\n"))
	f.Fuzz(func(t *testing.T, one, two, chair []byte) {
		sections := make(map[string]*Section)
		for name, text := range map[string][]byte{"one": one, "two": two, Chair: chair} {
			section, err := ParseSection(name, name+".yaml", text)
			if err == nil {
				sections[name] = section
				continue
			}
			var settingsErr *Error
			if !errors.As(err, &settingsErr) || settingsErr.Kind == "" {
				t.Fatalf("got an error without a kind: %v", err)
			}
		}
		merged, err := Merge(Head{Version: 3}, sections, nil)
		if err != nil {
			return
		}
		first, err := json.Marshal(merged.Effective)
		if err != nil {
			t.Fatal(err)
		}
		var read Effective
		if err := json.Unmarshal(first, &read); err != nil {
			t.Fatalf("%v\n%s", err, first)
		}
		if second, _ := json.Marshal(&read); !bytes.Equal(first, second) {
			t.Fatalf("settings changed by encoding and decoding:\n%s\n%s", first, second)
		}
		again, err := Merge(Head{Version: 3}, sections, nil)
		if err != nil {
			t.Fatal(err)
		}
		if second, _ := json.Marshal(again.Effective); !bytes.Equal(first, second) {
			t.Fatalf("merging twice gave different settings:\n%s\n%s", first, second)
		}
	})
}

// FuzzHead decodes arbitrary bytes as a head and as a section record.
func FuzzHead(f *testing.F) {
	f.Add([]byte(`{"version":3,"writer":"w","sections":{"one":"r"},"held":{"services.s.slots":4}}`))
	f.Add([]byte(`{"name":"one","revision":"r","text":"services: {}"}`))
	f.Add([]byte(`{"version":-1}`))
	f.Fuzz(func(t *testing.T, data []byte) {
		if head, err := ParseHead(data); err == nil {
			_, _ = Merge(head, nil, nil)
		}
		if record, section, err := ParseSectionRecord(data); err == nil && section.Name != record.Name {
			t.Fatalf("got section %q from record %q", section.Name, record.Name)
		}
	})
}
