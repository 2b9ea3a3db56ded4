package peer

import (
	"crypto/hmac"
	"crypto/sha256"
	"errors"
)

var (
	// ErrUnreachable means no answer came from the peer.
	ErrUnreachable = errors.New("peer: unreachable")
	// ErrSecret means the peer does not know the secret.
	ErrSecret = errors.New("peer: wrong secret")
)

// proof returns the HMAC of the nonce under the secret.
func proof(secret Secret, nonce []byte) []byte {
	mac := hmac.New(sha256.New, secret)
	_, _ = mac.Write(nonce)
	return mac.Sum(nil)
}
