package ccstandin

import (
	"encoding/json"
	"errors"
	"io"
)

// decodeStrict reads one JSON value and refuses unknown keys and anything after
// the value.
func decodeStrict(r io.Reader, into any) error {
	decoder := json.NewDecoder(r)
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(into); err != nil {
		return err
	}
	if _, err := decoder.Token(); !errors.Is(err, io.EOF) {
		return errors.New("there is something after the JSON value")
	}
	return nil
}
