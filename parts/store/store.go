// Package store is the platform's object API and host list as the system
// uses them.
//
// The object API holds small objects with versions. A version is taken from
// one counter over all objects, so versions of different objects compare, and
// a watch resumes from the last version seen. A conditional write is the only
// fence that the system relies on: whoever paused or was cut off while others
// wrote is stopped by the version, with no clock involved.
package store

import (
	"context"

	"fuchsiashelf.dev/parts/host"
)

// Object is a value with its version.
type Object struct {
	// Key names the object, for example "config/desk".
	Key string `json:"key"`
	// Version is the version of this value; zero means no object.
	Version uint64 `json:"version"`
	// Value is at most a megabyte.
	Value []byte `json:"value"`
}

// Changes is what a watch or a list returns.
type Changes struct {
	// Version is the store's counter; the next watch starts after it.
	Version uint64 `json:"version"`
	// Objects holds the newest value of each object that changed.
	Objects []Object `json:"objects"`
}

// API is the platform's service. Every method may fail with a *fault.Error:
// Conflict with verdict NotRun when a condition does not hold (the write had
// no effect), StoreDown with NotRun when the call never left, and StoreDown
// with MayHaveRun when the reply was lost.
type API interface {
	// Get returns an object, or one with version zero if there is none.
	Get(ctx context.Context, key string) (Object, error)
	// Put writes a value if the object still has the given version, zero
	// meaning that there must be none. It returns the new version.
	Put(ctx context.Context, key string, value []byte, version uint64) (uint64, error)
	// Delete removes an object that still has the given version.
	Delete(ctx context.Context, key string, version uint64) error
	// List returns all objects whose keys start with the prefix.
	List(ctx context.Context, prefix string) (Changes, error)
	// Watch waits until an object under the prefix changes after the given
	// version. It may return without objects when the wait ends.
	Watch(ctx context.Context, prefix string, after uint64) (Changes, error)
	// Hosts returns the host list as soon as its revision passes the given
	// one, or the unchanged list when the wait ends.
	Hosts(ctx context.Context, after uint64) (host.List, error)
}
