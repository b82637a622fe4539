// Package team models the teams that call the system. Teams are provisioned
// by the users' own engineers in one object of the object API; the operators'
// language does not reach them.
package team

import (
	"crypto/sha256"
	"crypto/subtle"
	"encoding/hex"

	"fuchsiashelf.dev/parts/quota"
)

// Team is one caller of the system.
type Team struct {
	// Name is unique among teams.
	Name string `json:"name"`
	// TokenHash is the SHA-256 of the bearer token, in lower-case hex. The
	// token itself is kept nowhere.
	TokenHash string `json:"tokenHash"`
	// Quota is the team's contract.
	Quota quota.Quota `json:"deal"`
}

// Directory holds all teams at one version of their object.
type Directory struct {
	// Version is the version of the object that the book was read from.
	Version uint64 `json:"-"`
	// Teams are in no particular order.
	Teams []Team `json:"teams"`
}

// HashToken returns the form in which a bearer token is kept.
func HashToken(token string) string {
	sum := sha256.Sum256([]byte(token))
	return hex.EncodeToString(sum[:])
}

// ByToken returns the team that a bearer token belongs to. It compares with all
// teams in constant time, so that the time taken tells nothing about how much
// of a guessed token was right.
func (b *Directory) ByToken(token string) (Team, bool) {
	if b == nil {
		return Team{}, false
	}
	want := []byte(HashToken(token))
	found := -1
	for i := range b.Teams {
		if subtle.ConstantTimeCompare(want, []byte(b.Teams[i].TokenHash)) == 1 {
			found = i
		}
	}
	if found < 0 {
		return Team{}, false
	}
	return b.Teams[found], true
}
