package edge

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"strings"

	"fuchsiashelf.dev/parts/fault"
)

// ask is the body of a model request.
type ask struct {
	Service string `json:"service"`
	Prompt  string `json:"prompt"`
	Max     int    `json:"max"`
}

// maxTokens bounds the answer that a caller may ask for.
const maxTokens = 65536

// parse reads and checks the body of a model request. A field that it does
// not know is refused: a misspelt one would otherwise change the answer
// without a word.
func parse(body []byte) (ask, *fault.Error) {
	var in ask
	decoder := json.NewDecoder(bytes.NewReader(body))
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(&in); err != nil {
		return in, unreadable(err)
	}
	if _, err := decoder.Token(); !errors.Is(err, io.EOF) {
		return in, bad("body", "more than one JSON value")
	}
	switch {
	case in.Service == "":
		return in, bad("service", "missing")
	case in.Prompt == "":
		return in, bad("prompt", "missing")
	case in.Max < 1 || in.Max > maxTokens:
		return in, bad("max", fmt.Sprintf("want 1 to %d, not %d", maxTokens, in.Max))
	}
	return in, nil
}

// unreadable tells which field of a body is wrong in the caller's own terms.
func unreadable(err error) *fault.Error {
	var kind *json.UnmarshalTypeError
	if errors.As(err, &kind) {
		if kind.Field == "" {
			return bad("body", "want a JSON object, not "+article(kind.Value))
		}
		return bad(kind.Field, "want "+article(typeName(kind.Type.Kind().String()))+", not "+article(kind.Value))
	}
	var syntax *json.SyntaxError
	if errors.As(err, &syntax) {
		return bad("body", fmt.Sprintf("not JSON at byte %d: %s", syntax.Offset, syntax))
	}
	if name, ok := strings.CutPrefix(err.Error(), "json: unknown field "); ok {
		return unknown(strings.Trim(name, `"`))
	}
	return bad("body", "not JSON: it ends too early")
}

// unknown refuses a field that a request does not have.
func unknown(name string) *fault.Error {
	if name == "" {
		return bad("body", "a field has no name")
	}
	return bad(name, "unknown field")
}

// typeName returns JSON's name for a kind of Go value.
func typeName(kind string) string {
	if kind == "int" {
		return "whole number"
	}
	return kind
}

func article(noun string) string {
	if strings.IndexByte("aeiou", noun[0]) >= 0 {
		return "an " + noun
	}
	return "a " + noun
}

func bad(field, message string) *fault.Error {
	return &fault.Error{Code: fault.BadRequest, Verdict: fault.NotRun, Field: field, Message: message}
}
