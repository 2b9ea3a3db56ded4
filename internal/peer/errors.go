package peer

import (
	"crypto/hmac"
	"crypto/sha256"
	"errors"
)

var (
	// ErrUnreachable means that no answer came from the peer; the call may have run.
	ErrUnreachable = errors.New("peer: unreachable")
	// ErrSecret means that the peer does not know the secret.
	ErrSecret = errors.New("peer: wrong secret")
)

// proof returns the HMAC-SHA256 of the nonce, with the secret as the key.
func proof(secret Secret, nonce []byte) []byte {
	mac := hmac.New(sha256.New, secret)
	_, _ = mac.Write(nonce)
	return mac.Sum(nil)
}
