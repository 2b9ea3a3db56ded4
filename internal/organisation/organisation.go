// Package organisation tells which organisation a caller belongs to and holds it to its limits.
package organisation

import (
	"errors"
	"net/http"
	"strings"

	"rhubarbrudder/internal/document"
)

var (
	// ErrNoKey means the request carries no key.
	ErrNoKey = errors.New("organisation: no key")
	// ErrWrongKey means the key is of no organisation.
	ErrWrongKey = errors.New("organisation: wrong key")
	// ErrOverLimit means the organisation has too much in flight.
	ErrOverLimit = errors.New("organisation: over its limit")
	// errNoHome means that no gateway, or not the one asked, is the organisation's home.
	errNoHome = errors.New("organisation: not its home")
)

// Authenticate returns the organisation whose key the request carries.
func Authenticate(view *document.View, r *http.Request) (document.OrganisationID, error) {
	given, found := strings.CutPrefix(r.Header.Get("Authorization"), "Bearer ")
	if !found || given == "" {
		return "", ErrNoKey
	}
	id, ok := view.OrganisationOf(given)
	if !ok {
		return "", ErrWrongKey
	}
	return id, nil
}
