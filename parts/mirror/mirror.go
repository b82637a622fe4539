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
//
// When the object API is restored from an older copy, the counter goes back and its
// era rises. Revisions of different eras have nothing in common, so a [Position] is
// ordered by its era first. Only a complete list takes a mirror into a newer era.
package mirror

import (
	"cmp"
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

// Position is a revision in an era of the object API.
type Position struct {
	Era, Revision uint64
}

// After reports whether p is later than q.
func (p Position) After(q Position) bool {
	return cmp.Or(cmp.Compare(p.Era, q.Era), cmp.Compare(p.Revision, q.Revision)) > 0
}

// IsZero reports whether p is before any object.
func (p Position) IsZero() bool {
	return p == Position{}
}

// Batch holds all changes of a kind in a range of revisions. The names of its fields are
// part of the encoding of messages.
type Batch struct {
	Kind string
	// Era is the era of the revisions.
	Era uint64
	// After and Cursor bound the changes: those with revisions above After, up
	// to Cursor.
	After, Cursor uint64
	Items         []Object
}

// Position returns the position up to which the batch holds changes.
func (b *Batch) Position() Position {
	return Position{Era: b.Era, Revision: b.Cursor}
}

// maxDeletions bounds the remembered deletions. A mirror that needs older ones
// gets a complete list.
const maxDeletions = 4096

// Mirror is the copy of one kind. The zero value is empty.
type Mirror struct {
	Kind string

	mu sync.Mutex
	// cursor is the position up to which the mirror is complete. All items and
	// deletions are of its era.
	cursor    Position
	items     map[string]Object
	deletions []Object
	// deletionsAfter is the revision after which all deletions are remembered.
	deletionsAfter uint64
}

// Cursor returns the position up to which the mirror is complete; zero means
// that it is empty.
func (m *Mirror) Cursor() Position {
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

// Replace replaces all objects by a complete list as of a position, unless the
// list is not newer than the mirror. It returns the names of objects that are
// missing from the list, and whether the list was newer.
func (m *Mirror) Replace(items []Object, cursor Position) (dropped []string, newer bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.items != nil && !cursor.After(m.cursor) {
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
	m.deletionsAfter = cursor.Revision
	slices.Sort(dropped)
	return dropped, true
}

// Merge applies a batch of changes and reports whether any object changed. A
// batch that begins after the cursor, or is of another era, would leave a gap and is
// ignored.
func (m *Mirror) Merge(b Batch) (changed bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.items == nil || b.Era != m.cursor.Era || b.After > m.cursor.Revision || b.Cursor <= m.cursor.Revision {
		return false
	}
	for _, item := range b.Items {
		if item.Revision <= m.cursor.Revision {
			continue
		}
		changed = m.apply(item) || changed
	}
	m.cursor.Revision = b.Cursor
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
// reports whether the batch is a list of all objects instead, because the cursor is of
// an older era, or not all deletions after it are remembered.
func (m *Mirror) Since(after Position) (b Batch, complete bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	b = Batch{Kind: m.Kind, Era: m.cursor.Era, After: after.Revision, Cursor: m.cursor.Revision}
	if m.items == nil || !m.cursor.After(after) {
		return b, false
	}
	complete = after.Era != m.cursor.Era || after.Revision < m.deletionsAfter
	if complete {
		b.After = 0
	}
	for _, item := range m.items {
		if complete || item.Revision > after.Revision {
			b.Items = append(b.Items, item)
		}
	}
	if complete {
		return b, true
	}
	for _, item := range m.deletions {
		if item.Revision > after.Revision {
			b.Items = append(b.Items, item)
		}
	}
	return b, false
}
