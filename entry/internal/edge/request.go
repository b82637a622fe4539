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
// the response.
func parseRequest(body []byte) (generateRequest, *fault.Error) {
	var req generateRequest
	decoder := json.NewDecoder(bytes.NewReader(body))
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(&req); err != nil {
		return req, decodeError(err)
	}
	if _, err := decoder.Token(); !errors.Is(err, io.EOF) {
		return req, badRequest("body", "more than one JSON value")
	}
	switch {
	case req.Service == "":
		return req, badRequest("service", "missing")
	case req.Prompt == "":
		return req, badRequest("prompt", "missing")
	case req.Max < 1 || req.Max > maxTokens:
		return req, badRequest("max", fmt.Sprintf("want 1 to %d, not %d", maxTokens, req.Max))
	}
	return req, nil
}

// decodeError converts a decoder error into one for callers, which names the
// wrong field and JSON types instead of Go types.
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
