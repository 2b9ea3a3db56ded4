// Package organisation finds the organisation that a caller belongs to and enforces its limits across all gateways.
package organisation

import (
	"errors"
	"net/http"
	"strings"

	"rhubarbrudder/internal/document"
)

var (
	// ErrNoKey means the request has no key.
	ErrNoKey = errors.New("organisation: no key")
	// ErrWrongKey means the key belongs to no organisation.
	ErrWrongKey = errors.New("organisation: wrong key")
	// ErrOverLimit means the organisation has too many requests in flight or sends them too fast.
	ErrOverLimit = errors.New("organisation: over its limit")
	// errNoHome means that the organisation has no home, since no gateway is alive, or that the gateway that was called
	// is not the organisation's home.
	errNoHome = errors.New("organisation: not its home")
)

// Authenticate returns the organisation whose key is in the request's Authorization header.
func Authenticate(view *document.View, r *http.Request) (document.OrganisationID, error) {
	key, found := strings.CutPrefix(r.Header.Get("Authorization"), "Bearer ")
	if !found || key == "" {
		return "", ErrNoKey
	}
	id, ok := view.OrganisationOf(key)
	if !ok {
		return "", ErrWrongKey
	}
	return id, nil
}
