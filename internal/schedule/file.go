// Package schedule implements recurring jobs. It validates schedule files, decides which
// occurrences become jobs and when, and maintains the history of each schedule. It does no
// I/O and reads no clock: the leader passes in the time and stores the records.
package schedule

import (
	"bytes"
	"encoding/json"
	"errors"
	"io"
	"strings"

	"github.com/pelletier/go-toml/v2"

	"yewpass/internal/calendar"
	"yewpass/internal/spec"
	"yewpass/internal/tomltext"
)

// File is a schedule as submitted by a user: a TOML file on the command line, or
// the same fields as JSON over HTTP. Its fields are not validated until Compile.
type File struct {
	Name           string          `toml:"name" json:"name"`
	Zone           string          `toml:"zone" json:"zone"`
	Rule           string          `toml:"rule" json:"rule"`
	At             []string        `toml:"at" json:"at"`
	Calendar       string          `toml:"calendar" json:"calendar,omitempty"`
	OnHoliday      string          `toml:"on_holiday" json:"on_holiday,omitempty"`
	Starts         *toml.LocalDate `toml:"starts" json:"starts,omitempty"`
	Ends           *toml.LocalDate `toml:"ends" json:"ends,omitempty"`
	DueAt          string          `toml:"due_at" json:"due_at,omitempty"`
	Overlap        string          `toml:"overlap" json:"overlap,omitempty"`
	CatchUp        string          `toml:"catch_up" json:"catch_up,omitempty"`
	CatchUpWithinS *float64        `toml:"catch_up_within_s" json:"catch_up_within_s,omitempty"`
	Job            spec.Submission `toml:"job" json:"job"`
}

const maxNameBytes = 63

// ValidName reports whether name is allowed for a schedule: 1 to 63 lower-case
// letters, digits, dots, underscores and hyphens, starting with a letter or digit.
func ValidName(name string) bool {
	for i, r := range name {
		alphanumeric := r >= 'a' && r <= 'z' || r >= '0' && r <= '9'
		punctuation := r == '.' || r == '_' || r == '-'
		if !alphanumeric && !(punctuation && i > 0) {
			return false
		}
	}
	return name != "" && len(name) <= maxNameBytes
}

// ParseTOML decodes a schedule file. The error is a single line that contains the line
// number and the field.
func ParseTOML(data []byte) (*File, error) {
	file := &File{}
	if err := tomltext.Decode(data, file, true); err != nil {
		return nil, err
	}
	return file, nil
}

// ParseJSON decodes a schedule from an HTTP request body. The error is a
// *calendar.FieldError, whose Field is empty if the whole body is invalid.
func ParseJSON(data []byte) (*File, error) {
	file := &File{}
	decoder := json.NewDecoder(bytes.NewReader(data))
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(file); err != nil {
		return nil, jsonFieldError(err)
	}
	if decoder.More() {
		return nil, invalidJSON()
	}
	return file, nil
}

// jsonFieldError converts an error of encoding/json to a *calendar.FieldError.
func jsonFieldError(err error) error {
	var typeError *json.UnmarshalTypeError
	if errors.As(err, &typeError) && typeError.Field != "" {
		return &calendar.FieldError{Field: typeError.Field, Reason: "wrong type or out of range"}
	}
	// encoding/json has no error type for unknown fields.
	if _, name, ok := strings.Cut(err.Error(), "unknown field "); ok {
		return &calendar.FieldError{Field: strings.Trim(name, `"`), Reason: "no such field"}
	}
	var syntaxError *json.SyntaxError
	if errors.As(err, &typeError) || errors.As(err, &syntaxError) || errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF) {
		return invalidJSON()
	}
	// All other errors come from toml.LocalDate, the only type with an unmarshaler.
	return &calendar.FieldError{Field: "starts or ends", Reason: "not a date such as 2027-01-31"}
}

func invalidJSON() error {
	return &calendar.FieldError{Reason: "the body is not a schedule in JSON"}
}
