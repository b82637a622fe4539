// Package store defines the platform's object API and host list as the system
// uses them.
//
// The object API holds small objects with versions. All objects take their
// versions from one counter, so versions of different objects can be compared,
// and a watch resumes from the last version seen. Conditional writes are the
// only fencing that the system relies on: the write of a process that was paused or
// partitioned while others wrote fails because of the version, independent of
// any clock.
package store

import (
	"context"

	"fuchsiashelf.dev/parts/host"
)

// Object is a value with its version.
type Object struct {
	// Key names the object, for example "config/desk".
	Key string `json:"key"`
	// Version is the version of this value; zero means that the object does not
	// exist.
	Version uint64 `json:"version"`
	// Value is the content, at most a megabyte.
	Value []byte `json:"value"`
}

// Changes is the result of a watch or a list.
type Changes struct {
	// Version is the value of the version counter; the next watch starts after
	// it.
	Version uint64 `json:"version"`
	// Objects holds the latest value of each object that changed.
	Objects []Object `json:"objects"`
}

// API is the platform's service. Every method may fail with a *fault.Error:
// Conflict with verdict NotRun if the condition of a write does not hold (the
// write had no effect), StoreDown with NotRun if the call was never sent, and
// StoreDown with MayHaveRun if the reply was lost.
type API interface {
	// Get returns an object, or one with version zero if it does not exist.
	Get(ctx context.Context, key string) (Object, error)
	// Put writes a value if the object has the given version; zero means that
	// it must not exist. It returns the new version.
	Put(ctx context.Context, key string, value []byte, version uint64) (uint64, error)
	// Delete removes an object if it has the given version.
	Delete(ctx context.Context, key string, version uint64) error
	// List returns all objects whose keys start with the prefix.
	List(ctx context.Context, prefix string) (Changes, error)
	// Watch waits until an object with the prefix changes after the given
	// version. It may return no objects when the wait times out.
	Watch(ctx context.Context, prefix string, after uint64) (Changes, error)
	// Hosts returns the host list once its revision is higher than the given
	// one, or the unchanged list when the wait times out.
	Hosts(ctx context.Context, after uint64) (host.List, error)
}
