// Package tomltext decodes TOML and returns single-line errors for users.
package tomltext

import (
	"bytes"
	"errors"
	"fmt"
	"strings"

	"github.com/pelletier/go-toml/v2"
)

// Decode decodes data into v. If strict is true, fields that v does not have are an
// error. The error is a single line that contains the position and the field.
func Decode(data []byte, v any, strict bool) error {
	decoder := toml.NewDecoder(bytes.NewReader(data))
	if strict {
		decoder.DisallowUnknownFields()
	}
	err := decoder.Decode(v)
	var unknown *toml.StrictMissingError
	if errors.As(err, &unknown) && len(unknown.Errors) > 0 {
		return unknownFieldError(&unknown.Errors[0])
	}
	var invalid *toml.DecodeError
	if errors.As(err, &invalid) {
		row, column := invalid.Position()
		return fmt.Errorf("line %d column %d: %s: %s", row, column, strings.Join(invalid.Key(), "."), invalid.Error())
	}
	return err
}

// unknownFieldError returns the error for a field that the destination does not have, which
// may be a section at the top level.
func unknownFieldError(unknown *toml.DecodeError) error {
	row, _ := unknown.Position()
	reason := "no such field"
	if len(unknown.Key()) == 1 {
		reason = "no such section or field"
	}
	return fmt.Errorf("line %d: %s: %s", row, strings.Join(unknown.Key(), "."), reason)
}
