// Package team models the teams that call the system. The users' engineers
// provision the teams in one object of the object API; the operators' command
// language cannot change them.
package team

import (
	"crypto/sha256"
	"crypto/subtle"
	"encoding/hex"

	"fuchsiashelf.dev/parts/quota"
)

// Team is a customer: a caller with a token and a quota.
type Team struct {
	// Name is unique among teams.
	Name string `json:"name"`
	// TokenHash is the SHA-256 of the bearer token in lower-case hex. The token
	// itself is not stored anywhere.
	TokenHash string `json:"tokenHash"`
	// Quota is the team's quota.
	Quota quota.Quota `json:"deal"`
}

// Directory holds all teams at one version of the teams object.
type Directory struct {
	// Revision is raised by the users' engineers with each change. Unlike Version
	// it keeps its order when the object API is restored from an older copy.
	Revision uint64 `json:"revision,omitempty"`
	// Version is the version of the object that the directory was read from.
	Version uint64 `json:"-"`
	// Teams holds the teams in no particular order.
	Teams []Team `json:"teams"`
}

// Supersedes reports whether the directory is newer than another one, which may be
// nil. Directories without a revision are ordered by their versions.
func (d *Directory) Supersedes(other *Directory) bool {
	if other == nil {
		return true
	}
	if d.Revision != other.Revision {
		return d.Revision > other.Revision
	}
	return d.Version > other.Version
}

// HashToken returns the hash under which a bearer token is stored.
func HashToken(token string) string {
	sum := sha256.Sum256([]byte(token))
	return hex.EncodeToString(sum[:])
}

// ByToken returns the team that a bearer token belongs to. It compares with all
// teams in constant time, so that the duration does not reveal how much of a
// guessed token was right.
func (d *Directory) ByToken(token string) (Team, bool) {
	if d == nil {
		return Team{}, false
	}
	hash := []byte(HashToken(token))
	found := -1
	for i := range d.Teams {
		if subtle.ConstantTimeCompare(hash, []byte(d.Teams[i].TokenHash)) == 1 {
			found = i
		}
	}
	if found < 0 {
		return Team{}, false
	}
	return d.Teams[found], true
}
