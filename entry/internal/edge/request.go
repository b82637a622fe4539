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

// generateRequest is the body of a model request.
type generateRequest struct {
	Service string `json:"service"`
	Prompt  string `json:"prompt"`
	Max     int    `json:"max"`
}

// maxTokens is the largest number of tokens that a caller may request.
const maxTokens = 65536

// parseRequest decodes and validates the body of a model request. It rejects
// unknown fields: a misspelt one would otherwise be ignored and silently change
// the answer.
func parseRequest(body []byte) (generateRequest, *fault.Error) {
	var in generateRequest
	decoder := json.NewDecoder(bytes.NewReader(body))
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(&in); err != nil {
		return in, decodeError(err)
	}
	if _, err := decoder.Token(); !errors.Is(err, io.EOF) {
		return in, badRequest("body", "more than one JSON value")
	}
	switch {
	case in.Service == "":
		return in, badRequest("service", "missing")
	case in.Prompt == "":
		return in, badRequest("prompt", "missing")
	case in.Max < 1 || in.Max > maxTokens:
		return in, badRequest("max", fmt.Sprintf("want 1 to %d, not %d", maxTokens, in.Max))
	}
	return in, nil
}

// decodeError converts an error of the decoder into one that names the wrong
// field and the JSON types, without Go's names.
func decodeError(err error) *fault.Error {
	var mismatch *json.UnmarshalTypeError
	if errors.As(err, &mismatch) {
		if mismatch.Field == "" {
			return badRequest("body", "want a JSON object, not "+withArticle(mismatch.Value))
		}
		return badRequest(mismatch.Field, "want "+withArticle(jsonTypeName(mismatch.Type.Kind().String()))+", not "+withArticle(mismatch.Value))
	}
	var syntax *json.SyntaxError
	if errors.As(err, &syntax) {
		return badRequest("body", fmt.Sprintf("not JSON at byte %d: %s", syntax.Offset, syntax))
	}
	if name, ok := strings.CutPrefix(err.Error(), "json: unknown field "); ok {
		return unknownFieldError(strings.Trim(name, `"`))
	}
	return badRequest("body", "not JSON: it ends too early")
}

// unknownFieldError returns the error for a field that a request does not have.
func unknownFieldError(name string) *fault.Error {
	if name == "" {
		return badRequest("body", "a field has no name")
	}
	return badRequest(name, "unknown field")
}

// jsonTypeName returns the name shown to callers for the JSON type of a Go kind.
func jsonTypeName(kind string) string {
	if kind == "int" {
		return "whole number"
	}
	return kind
}

// withArticle returns a noun with its indefinite article.
func withArticle(noun string) string {
	if strings.IndexByte("aeiou", noun[0]) >= 0 {
		return "an " + noun
	}
	return "a " + noun
}

// badRequest returns the error for a request with a wrong field.
func badRequest(field, message string) *fault.Error {
	return &fault.Error{Code: fault.BadRequest, Verdict: fault.NotRun, Field: field, Message: message}
}
