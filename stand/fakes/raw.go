package fakes

import (
	"bytes"
	"net/http"
	"strconv"
	"sync"
)

// rawSpecs holds specs that encoding/json does not write, by the JSON text that stands for each.
type rawSpecs struct {
	mu   sync.Mutex
	list map[string][]byte
}

// PutRaw writes an object whose spec is the given bytes, whatever they are.
func (s *Store) PutRaw(kind, name string, spec []byte) error {
	standIn := "raw spec of " + kind + "/" + name
	s.raw.mu.Lock()
	if s.raw.list == nil {
		s.raw.list = map[string][]byte{}
	}
	s.raw.list[strconv.Quote(standIn)] = spec
	s.raw.mu.Unlock()
	return s.Put(kind, name, standIn)
}

// rawWriter writes a response with the raw specs in it. Each call of Write gets a whole JSON value.
type rawWriter struct {
	http.ResponseWriter
	specs *rawSpecs
}

// Write implements io.Writer.
func (w *rawWriter) Write(b []byte) (int, error) {
	w.specs.mu.Lock()
	text := b
	for standIn, spec := range w.specs.list {
		text = bytes.ReplaceAll(text, []byte(standIn), spec)
	}
	w.specs.mu.Unlock()
	if _, err := w.ResponseWriter.Write(text); err != nil {
		return 0, err
	}
	return len(b), nil
}
