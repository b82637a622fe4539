// Package mirror keeps a copy of objects of the platform's object API, updated
// by this entry host's own watches and by other entry hosts.
//
// A single counter numbers all changes of the object API. Objects are grouped by
// kind, for example servers, and each kind has a mirror. The mirror of a kind is
// complete up to its cursor: it reflects every change of the kind up to that
// revision. So changes after the cursor that another entry host has seen can be
// merged as if they had come from the object API, in any order and more than
// once; changes up to the cursor are ignored. An entry host that has lost its
// connection to the object API learns of configuration changes and of leaving
// backend servers through any entry host that has not.
package mirror

import (
	"slices"
	"strings"
	"sync"
)

// Object is the latest known state of an object.
type Object struct {
	Name string
	// Revision is the revision of its last change.
	Revision uint64
	// Deleted reports whether the object has been deleted.
	Deleted bool
	// Spec is the content written by its owner, in the encoding of the object
	// API.
	Spec []byte
}

// Batch holds all changes of a kind in a range of revisions.
type Batch struct {
	Kind string
	// After and Cursor bound the changes: those with revisions above After, up
	// to Cursor.
	After, Cursor uint64
	Items         []Object
}

// maxDeletions bounds the remembered deletions. A mirror that needs older ones
// gets a complete list.
const maxDeletions = 4096

// Mirror is the copy of one kind. The zero value is empty.
type Mirror struct {
	Kind string

	mu        sync.Mutex
	cursor    uint64
	items     map[string]Object
	deletions []Object
	// deletionsAfter is the revision after which all deletions are remembered.
	deletionsAfter uint64
}

// Cursor returns the revision up to which the mirror is complete; zero means
// that it is empty.
func (m *Mirror) Cursor() uint64 {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.cursor
}

// Items returns the existing objects, ordered by name.
func (m *Mirror) Items() []Object {
	m.mu.Lock()
	defer m.mu.Unlock()
	list := make([]Object, 0, len(m.items))
	for _, item := range m.items {
		list = append(list, item)
	}
	slices.SortFunc(list, func(a, b Object) int { return strings.Compare(a.Name, b.Name) })
	return list
}

// Replace replaces all objects by a complete list as of a revision, unless the
// list is not newer than the mirror. It returns the names of objects that are
// missing from the list, and whether the list was newer.
func (m *Mirror) Replace(items []Object, cursor uint64) (dropped []string, newer bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if cursor < m.cursor || cursor == m.cursor && m.items != nil {
		return nil, false
	}
	objects := make(map[string]Object, len(items))
	for _, item := range items {
		objects[item.Name] = item
	}
	for name := range m.items {
		if _, exists := objects[name]; !exists {
			dropped = append(dropped, name)
		}
	}
	m.items = objects
	m.cursor = cursor
	m.deletions = nil
	m.deletionsAfter = cursor
	slices.Sort(dropped)
	return dropped, true
}

// Merge applies a batch of changes and reports whether any object changed. A
// batch that begins after the cursor would leave a gap and is ignored.
func (m *Mirror) Merge(b Batch) (changed bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if b.After > m.cursor || b.Cursor <= m.cursor || m.items == nil {
		return false
	}
	for _, item := range b.Items {
		if item.Revision <= m.cursor {
			continue
		}
		changed = m.apply(item) || changed
	}
	m.cursor = b.Cursor
	return changed
}

func (m *Mirror) apply(item Object) bool {
	known, exists := m.items[item.Name]
	if exists && known.Revision >= item.Revision {
		return false
	}
	if !item.Deleted {
		m.items[item.Name] = item
		return true
	}
	delete(m.items, item.Name)
	m.deletions = append(m.deletions, item)
	if len(m.deletions) > maxDeletions {
		m.deletionsAfter = m.deletions[0].Revision
		m.deletions = m.deletions[1:]
	}
	return exists
}

// Since returns the changes that a mirror with the given cursor lacks. complete
// reports whether the batch is a list of all objects instead, because not all
// deletions after that cursor are remembered.
func (m *Mirror) Since(after uint64) (b Batch, complete bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	b = Batch{Kind: m.Kind, After: after, Cursor: m.cursor}
	if m.items == nil || after >= m.cursor {
		return b, false
	}
	complete = after < m.deletionsAfter
	if complete {
		b.After = 0
	}
	for _, item := range m.items {
		if complete || item.Revision > after {
			b.Items = append(b.Items, item)
		}
	}
	if complete {
		return b, true
	}
	for _, item := range m.deletions {
		if item.Revision > after {
			b.Items = append(b.Items, item)
		}
	}
	return b, false
}
