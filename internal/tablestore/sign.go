package tablestore

import (
	"bytes"
	"crypto/sha256"
	"encoding/hex"
	"errors"
	"io"
	"net/http"
	"os"
	"strings"
	"time"

	"github.com/aws/aws-sdk-go-v2/aws"
	v4 "github.com/aws/aws-sdk-go-v2/aws/signer/v4"
	"github.com/samber/oops"
)

// ErrAccessKey means that the file with the platform's access key is unusable.
var ErrAccessKey = errors.New("tablestore: access key file must contain an id and a secret, separated by white space")

// AccessKey signs requests to the platform.
type AccessKey struct {
	ID     string
	Secret string
}

// ReadAccessKey reads a file that contains the id and the secret, separated by white space.
func ReadAccessKey(path string) (AccessKey, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return AccessKey{}, oops.In("tablestore").Wrap(errors.Join(ErrAccessKey, err))
	}
	fields := strings.Fields(string(data))
	if len(fields) != 2 {
		return AccessKey{}, ErrAccessKey
	}
	return AccessKey{
		ID:     fields[0],
		Secret: fields[1],
	}, nil
}

// SigningService is the name of the platform's service that a signature is for.
type SigningService string

const (
	// SigningTable is the table service.
	SigningTable SigningService = "dynamodb"
	// SigningObjects is the object store.
	SigningObjects SigningService = "s3"
)

// headerContentHash is the header with the hash of the body, which the object store requires.
const headerContentHash = "X-Amz-Content-Sha256"

// Signer is a transport that signs requests with Signature Version 4.
type Signer struct {
	next    http.RoundTripper
	key     AccessKey
	service SigningService
	region  string
	now     func() time.Time
	signer  *v4.Signer
}

// NewSigner returns a transport that signs requests and sends them through next. The argument now is time.Now except in
// tests.
func NewSigner(next http.RoundTripper, key AccessKey, service SigningService, region string, now func() time.Time) *Signer {
	return &Signer{
		next:    next,
		key:     key,
		service: service,
		region:  region,
		now:     now,
		signer: v4.NewSigner(func(options *v4.SignerOptions) {
			options.DisableURIPathEscaping = service == SigningObjects
		}),
	}
}

// RoundTrip signs a copy of the request and sends it.
func (s *Signer) RoundTrip(r *http.Request) (*http.Response, error) {
	signed := r.Clone(r.Context())
	hash, err := hashBody(signed)
	if err != nil {
		return nil, err
	}
	if s.service == SigningObjects {
		signed.Header.Set(headerContentHash, hash)
	}
	credentials := aws.Credentials{
		AccessKeyID:     s.key.ID,
		SecretAccessKey: s.key.Secret,
	}
	if err := s.signer.SignHTTP(r.Context(), credentials, signed, hash, string(s.service), s.region, s.now()); err != nil {
		return nil, oops.In("tablestore").Wrap(err)
	}
	return s.next.RoundTrip(signed)
}

// hashBody returns the hex-encoded SHA-256 of the body and leaves the body readable.
func hashBody(r *http.Request) (string, error) {
	var data []byte
	if r.Body != nil {
		var err error
		data, err = io.ReadAll(r.Body)
		_ = r.Body.Close()
		if err != nil {
			return "", err
		}
		r.Body = io.NopCloser(bytes.NewReader(data))
	}
	sum := sha256.Sum256(data)
	return hex.EncodeToString(sum[:]), nil
}
