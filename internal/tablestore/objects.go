package tablestore

import (
	"context"
	"encoding/xml"
	"errors"
	"io"
	"net/http"
	"net/url"
	"strconv"
	"strings"
	"time"

	"github.com/dghubble/sling"
	"github.com/samber/oops"
)

// ObjectName is the name of an object in the bucket. Its parts are separated by slashes.
type ObjectName string

// ObjectInfo describes an object in a listing.
type ObjectInfo struct {
	Name     ObjectName
	Bytes    int64
	Modified time.Time
}

// Objects is a client of the object store.
type Objects struct {
	base   *sling.Sling
	client *http.Client
	bucket string
	budget *Budget
}

// objectTimeout limits a put, a delete or a listing.
const objectTimeout = 30 * time.Second

// NewObjects returns a client of the bucket at the URL. A nil budget does not limit it.
func NewObjects(client *http.Client, base, bucket string, budget *Budget) *Objects {
	return &Objects{
		base:   sling.New().Client(client).Base(base),
		client: client,
		bucket: bucket,
		budget: budget,
	}
}

func (o *Objects) path(name ObjectName) string {
	parts := strings.Split(string(name), "/")
	for i, part := range parts {
		parts[i] = url.PathEscape(part)
	}
	return "/" + o.bucket + "/" + strings.Join(parts, "/")
}

// Put stores an object, replacing any object of the same name. It returns ErrUnknown if the object may have been
// stored.
func (o *Objects) Put(ctx context.Context, name ObjectName, data []byte) error {
	if err := o.budget.waitWrite(ctx, Txn{
		Class:  ClassCommit,
		Writes: make([]Write, 1),
	}); err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(ctx, objectTimeout)
	defer cancel()
	req, err := o.base.New().Put(o.path(name)).Body(strings.NewReader(string(data))).Request()
	if err != nil {
		return oops.In("tablestore").Wrap(err)
	}
	_, err = o.do(req.WithContext(ctx))
	return err
}

// Get returns an object's data, or ErrNotFound.
func (o *Objects) Get(ctx context.Context, name ObjectName) ([]byte, error) {
	body, err := o.Open(ctx, name)
	if err != nil {
		return nil, err
	}
	defer func() { _ = body.Close() }()
	data, err := io.ReadAll(body)
	if err != nil {
		return nil, oops.In("tablestore").Wrap(errors.Join(ErrUnavailable, err))
	}
	return data, nil
}

// Open returns a reader of an object, which the caller must close, or ErrNotFound.
func (o *Objects) Open(ctx context.Context, name ObjectName) (io.ReadCloser, error) {
	if err := o.budget.waitRead(ctx); err != nil {
		return nil, err
	}
	req, err := o.base.New().Get(o.path(name)).Request()
	if err != nil {
		return nil, oops.In("tablestore").Wrap(err)
	}
	response, err := o.client.Do(req.WithContext(ctx))
	if err != nil {
		return nil, readError(transportError(nil, err))
	}
	if response.StatusCode == http.StatusOK {
		return response.Body, nil
	}
	_ = response.Body.Close()
	return nil, readError(objectError(response.StatusCode))
}

// Delete removes an object. It succeeds if the object does not exist.
func (o *Objects) Delete(ctx context.Context, name ObjectName) error {
	if err := o.budget.waitWrite(ctx, Txn{
		Class:  ClassReport,
		Writes: make([]Write, 1),
	}); err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(ctx, objectTimeout)
	defer cancel()
	req, err := o.base.New().Delete(o.path(name)).Request()
	if err != nil {
		return oops.In("tablestore").Wrap(err)
	}
	_, err = o.do(req.WithContext(ctx))
	return err
}

// ListBucketResult is the answer to ListObjectsV2.
type ListBucketResult struct {
	XMLName  xml.Name        `xml:"ListBucketResult"`
	Contents []ListedContent `xml:"Contents"`
}

// ListedContent describes one object of a listing.
type ListedContent struct {
	Key          string    `xml:"Key"`
	Size         int64     `xml:"Size"`
	LastModified time.Time `xml:"LastModified"`
}

// Page returns up to limit objects whose names begin with the prefix, in order, after the given name.
func (o *Objects) Page(ctx context.Context, prefix, after ObjectName, limit int) ([]ObjectInfo, error) {
	if err := o.budget.waitRead(ctx); err != nil {
		return nil, err
	}
	ctx, cancel := context.WithTimeout(ctx, objectTimeout)
	defer cancel()
	query := url.Values{}
	query.Set("list-type", "2")
	query.Set("prefix", string(prefix))
	query.Set("start-after", string(after))
	query.Set("max-keys", strconv.Itoa(limit))
	req, err := o.base.New().Get("/" + o.bucket + "?" + query.Encode()).Request()
	if err != nil {
		return nil, oops.In("tablestore").Wrap(err)
	}
	data, err := o.do(req.WithContext(ctx))
	if err != nil {
		return nil, readError(err)
	}
	var result ListBucketResult
	if err := xml.Unmarshal(data, &result); err != nil {
		return nil, oops.In("tablestore").Wrap(err)
	}
	infos := make([]ObjectInfo, 0, len(result.Contents))
	for _, content := range result.Contents {
		infos = append(infos, ObjectInfo{
			Name:     ObjectName(content.Key),
			Bytes:    content.Size,
			Modified: content.LastModified,
		})
	}
	return infos, nil
}

func (o *Objects) do(req *http.Request) ([]byte, error) {
	response, err := o.client.Do(req)
	if err != nil {
		return nil, transportError(nil, err)
	}
	defer func() { _ = response.Body.Close() }()
	data, err := io.ReadAll(response.Body)
	if err != nil {
		return nil, transportError(nil, err)
	}
	if response.StatusCode/100 == 2 {
		return data, nil
	}
	return nil, objectError(response.StatusCode)
}

func objectError(status int) error {
	switch {
	case status == http.StatusNotFound:
		return ErrNotFound
	case status == http.StatusPreconditionFailed:
		return ErrConflict
	case status == http.StatusServiceUnavailable, status == http.StatusTooManyRequests:
		return ErrUnavailable
	case status >= http.StatusInternalServerError:
		return ErrUnknown
	}
	return ErrInvalid
}
