package config

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"reflect"
	"strconv"
	"strings"

	"bramblelock/internal/wire"
)

// This file states what is wrong with a configuration in the terms of its file: the key, its value and
// what is allowed.

// typeError names the key whose value has a wrong type if that is what err reports, and returns err
// otherwise. text is what was decoded, and prefix the path of it, with a dot at its end, or "".
func typeError(prefix string, text []byte, err error) error {
	var mismatch *json.UnmarshalTypeError
	if !errors.As(err, &mismatch) {
		return err
	}
	key := prefix + strings.ToLower(mismatch.Field) // the path has Go names where a key has no tag
	return fmt.Errorf("%s: %s is not %s", strings.TrimSuffix(key, "."), valueEndingAt(text, mismatch.Offset), typeName(mismatch.Type))
}

// valueEndingAt returns the value whose last byte precedes offset, as it is written in JSON. For a list or
// an object, of which offset is within, it returns a word.
func valueEndingAt(text []byte, offset int64) string {
	tokens := json.NewDecoder(bytes.NewReader(text))
	tokens.UseNumber()
	for {
		token, err := tokens.Token()
		switch {
		case err != nil:
			return "the value"
		case tokens.InputOffset() < offset:
			continue
		case token == json.Delim('['):
			return "a list"
		case token == json.Delim('{'):
			return "an object"
		}
		if text, isString := token.(string); isString {
			return strconv.Quote(text)
		}
		return fmt.Sprint(token)
	}
}

// typeName describes the JSON values that can be decoded into a type.
func typeName(t reflect.Type) string {
	switch t.Kind() {
	case reflect.Bool:
		return "true or false"
	case reflect.String:
		return "a string"
	case reflect.Float64:
		return "a number of 64 bits"
	case reflect.Uint64:
		return "a whole number of 64 bits from 0 on"
	case reflect.Int, reflect.Int64:
		return "a whole number of 64 bits"
	case reflect.Slice:
		return "a list"
	}
	return "an object"
}

// settingsError returns an error that names the key for which the settings in text were rejected with err.
func settingsError(text []byte, err error) error {
	return wire.NameSettingsKey(typeError("settings.", text, err))
}
