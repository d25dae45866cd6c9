// Package tomltext reads TOML and says in one line what is wrong with it.
package tomltext

import (
	"bytes"
	"errors"
	"fmt"
	"strings"

	"github.com/pelletier/go-toml/v2"
)

// Decode reads data into v. Fields that v lacks are errors if strict. An error
// names the line and the field.
func Decode(data []byte, v any, strict bool) error {
	d := toml.NewDecoder(bytes.NewReader(data))
	if strict {
		d.DisallowUnknownFields()
	}
	err := d.Decode(v)
	var missing *toml.StrictMissingError
	if errors.As(err, &missing) && len(missing.Errors) > 0 {
		e := missing.Errors[0]
		row, _ := e.Position()
		what := "no such field"
		if len(e.Key()) == 1 {
			what = "no such section or field"
		}
		return fmt.Errorf("line %d: %s: %s", row, strings.Join(e.Key(), "."), what)
	}
	var de *toml.DecodeError
	if errors.As(err, &de) {
		row, col := de.Position()
		return fmt.Errorf("line %d column %d: %s: %s", row, col, strings.Join(de.Key(), "."), de.Error())
	}
	return err
}
