package ccreplay

import (
	"testing"
	"unicode/utf8"

	"github.com/fxamacker/cbor/v2"

	"camphorcroft/core/ccsubset"
	"camphorcroft/io/ccstore"
)

// Guards against a record that is taken for an entry that agents can't be told of or
// can't dial.
func FuzzRecord(f *testing.F) {
	for _, seed := range []string{
		`{"addr":"10.0.0.1:7720","domain":"north"}`, `{"addr":"10.0.0.1:0","domain":"north"}`, `{"addr":"[fe80::1%eth0]:7720"}`, `{}`, `null`, "\xff", `{"addr":5}`, ``,
	} {
		f.Add("entry-1", []byte(seed))
	}
	f.Add("a/b", []byte(`{"addr":"10.0.0.1:7720"}`))
	f.Fuzz(func(t *testing.T, id string, value []byte) {
		entry, err := readRecord(ccstore.Item{Key: entryPrefix + id, Value: value, Revision: 1})
		if err != nil {
			return
		}
		data, err := cbor.Marshal([]ccsubset.Entry{entry})
		if err != nil {
			t.Fatal(err)
		}
		var told []ccsubset.Entry
		if err := cbor.Unmarshal(data, &told); err != nil || len(told) != 1 || told[0] != entry || !entry.Valid() || !utf8.ValidString(id) {
			t.Fatalf("got %+v of %+v, %v", told, entry, err)
		}
	})
}
