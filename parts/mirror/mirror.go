// Package mirror keeps a copy of objects of the platform's object API, fed by
// watches of its own and by other entry hosts.
//
// All changes of the object API are numbered by one counter. The mirror of a
// kind is complete through its cursor: it shows every change of the kind up to
// that revision. So what another entry host has seen after one's own cursor
// can be taken over as if it had come from the object API, in any order and
// more than once; a change that is not newer than the cursor is old news. An
// entry host whose path to the object API is silent learns of configuration,
// and of backend servers that leave, through any other that is not.
package mirror

import (
	"slices"
	"strings"
	"sync"
)

// Object is the newest known state of an object.
type Object struct {
	Name string
	// Revision is that of its last change.
	Revision uint64
	// Deleted says that it is gone.
	Deleted bool
	// Spec is what its owner wrote, in the codec of the object API.
	Spec []byte
}

// Batch holds all changes of a kind after one revision, up to another.
type Batch struct {
	Kind string
	// After and Cursor bound the changes: those after After up to Cursor.
	After, Cursor uint64
	Items         []Object
}

// maxGone bounds the deletions that are remembered for others. One that needs
// an older one gets everything.
const maxGone = 4096

// Mirror is the copy of one kind. The zero value is empty.
type Mirror struct {
	Kind string

	mu     sync.Mutex
	cursor uint64
	items  map[string]Object
	gone   []Object
	// goneFrom is the revision after which all deletions are remembered.
	goneFrom uint64
}

// Cursor returns the revision up to which the mirror is complete; zero means
// that nothing is known.
func (m *Mirror) Cursor() uint64 {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.cursor
}

// Items returns the objects that exist, ordered by name.
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

// Replace takes a complete list of the objects as of a revision. It returns
// the names of objects that were dropped because the list lacks them, and
// whether it was newer than what is known.
func (m *Mirror) Replace(items []Object, cursor uint64) (dropped []string, newer bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if cursor < m.cursor || cursor == m.cursor && m.items != nil {
		return nil, false
	}
	fresh := make(map[string]Object, len(items))
	for _, item := range items {
		fresh[item.Name] = item
	}
	for name := range m.items {
		if _, kept := fresh[name]; !kept {
			dropped = append(dropped, name)
		}
	}
	m.items = fresh
	m.cursor = cursor
	m.gone = nil
	m.goneFrom = cursor
	slices.Sort(dropped)
	return dropped, true
}

// Merge takes changes. It reports whether they changed anything; changes that
// begin after the cursor leave a gap and are not taken.
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
		changed = m.take(item) || changed
	}
	m.cursor = b.Cursor
	return changed
}

func (m *Mirror) take(item Object) bool {
	known, exists := m.items[item.Name]
	if exists && known.Revision >= item.Revision {
		return false
	}
	if !item.Deleted {
		m.items[item.Name] = item
		return true
	}
	delete(m.items, item.Name)
	m.gone = append(m.gone, item)
	if len(m.gone) > maxGone {
		m.goneFrom = m.gone[0].Revision
		m.gone = m.gone[1:]
	}
	return exists
}

// Since returns what another that is complete through the given revision
// lacks. Whole says that the batch is a complete list, because deletions since
// then are not remembered.
func (m *Mirror) Since(after uint64) (b Batch, whole bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	b = Batch{Kind: m.Kind, After: after, Cursor: m.cursor}
	if m.items == nil || after >= m.cursor {
		return b, false
	}
	whole = after < m.goneFrom
	if whole {
		b.After = 0
	}
	for _, item := range m.items {
		if whole || item.Revision > after {
			b.Items = append(b.Items, item)
		}
	}
	if whole {
		return b, true
	}
	for _, item := range m.gone {
		if item.Revision > after {
			b.Items = append(b.Items, item)
		}
	}
	return b, false
}
