package cclimit

import (
	"bytes"
	"encoding/json"
	"errors"
)

var errNoList = errors.New("not a list")

// Elements decodes at most the given number of elements of a JSON list, or null. The rest is
// not decoded: a body of 256 KB may have 87,000 empty elements, which take 50 times its
// length. Unknown fields of elements are errors if strict is set.
func Elements[T any](data []byte, most int, strict bool) ([]T, error) {
	decoder := json.NewDecoder(bytes.NewReader(data))
	if strict {
		decoder.DisallowUnknownFields()
	}
	token, err := decoder.Token()
	if err != nil || token == nil {
		return nil, err
	}
	if token != json.Delim('[') {
		return nil, &Error{Op: "read list", Kind: KindValue, Err: errNoList}
	}
	elements := []T{}
	for len(elements) < most && decoder.More() {
		var element T
		if err := decoder.Decode(&element); err != nil {
			return nil, err
		}
		elements = append(elements, element)
	}
	return elements, nil
}
