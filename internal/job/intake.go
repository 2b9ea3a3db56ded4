package job

import (
	"bufio"
	"bytes"
	"context"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"errors"
	"hash"
	"io"
	"net/http"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/google/uuid"
	"github.com/tidwall/gjson"

	"rhubarbrudder/internal/document"
	"rhubarbrudder/internal/tablestore"
)

// modelPrefix is the path prefix of requests to model engines, whose body names a model. Paths of plain services do not
// have it.
const modelPrefix = "/v1/"

// maxLineBytes bounds the size of one item.
const maxLineBytes = 4 << 20

// Intake validates an input file while it is uploaded and stores it as lots. It keeps at most one lot in memory.
type Intake struct {
	objects Objects
	policy  document.Policy
	file    File
	// lot and lotItems are the content and the number of items of the current lot.
	lot      bytes.Buffer
	lotItems int
	line     int
	// seenIDs holds the hashes of the custom ids.
	seenIDs map[uint64]struct{}
	hash    hash.Hash
}

// NewIntake returns an intake for one file of the organisation.
func NewIntake(objects Objects, policy document.Policy, organisation document.OrganisationID, name string) *Intake {
	return &Intake{
		objects: objects,
		policy:  policy,
		file: File{
			ID:           FileID("file-" + uuid.Must(uuid.NewV7()).String()),
			Organisation: organisation,
			Name:         name,
			Purpose:      "batch",
			Created:      time.Now().UTC(),
		},
		seenIDs: map[uint64]struct{}{},
		hash:    sha256.New(),
	}
}

// Read stores the lots of the input and returns the file, whose row is not stored yet. If the input is invalid, it
// returns an *InputError with the first invalid line.
func (i *Intake) Read(ctx context.Context, input io.Reader) (File, error) {
	scanner := bufio.NewScanner(input)
	scanner.Buffer(make([]byte, 64<<10), maxLineBytes)
	for scanner.Scan() {
		i.line++
		line := bytes.TrimSpace(scanner.Bytes())
		if len(line) == 0 {
			continue
		}
		if err := i.checkItem(line); err != nil {
			return File{}, err
		}
		if err := i.addItem(ctx, line); err != nil {
			return File{}, err
		}
	}
	if errors.Is(scanner.Err(), bufio.ErrTooLong) {
		return File{}, i.invalid("the line is too long")
	}
	if err := scanner.Err(); err != nil {
		return File{}, err
	}
	if err := i.flush(ctx); err != nil {
		return File{}, err
	}
	if i.file.Items == 0 {
		return File{}, i.invalid("the file has no items")
	}
	i.file.Hash = document.Hash(hex.EncodeToString(i.hash.Sum(nil)))
	return i.file, nil
}

func (i *Intake) invalid(reason string) error {
	return &InputError{
		Line:   i.line,
		Reason: reason,
	}
}

func (i *Intake) checkItem(line []byte) error {
	var item Item
	if err := json.Unmarshal(line, &item); err != nil {
		return i.invalid("not JSON: " + err.Error())
	}
	switch {
	case item.CustomID == "":
		return i.invalid("custom_id is missing")
	case item.Method != http.MethodPost:
		return i.invalid("method must be POST")
	case item.URL == "":
		return i.invalid("url is missing")
	case len(item.Body) == 0:
		return i.invalid("body is missing")
	case i.file.Path != "" && i.file.Path != item.URL:
		return i.invalid("url differs from the first item's")
	}
	i.file.Path = item.URL
	if err := i.checkModel(item); err != nil {
		return err
	}
	id := xxhash.Sum64String(item.CustomID)
	if _, duplicate := i.seenIDs[id]; duplicate {
		return i.invalid("custom_id " + item.CustomID + " is used twice")
	}
	i.seenIDs[id] = struct{}{}
	return nil
}

// checkModel checks that every item names the same model, if the items are requests to model engines.
func (i *Intake) checkModel(item Item) error {
	if !strings.HasPrefix(item.URL, modelPrefix) {
		return nil
	}
	model := document.ModelName(gjson.GetBytes(item.Body, "model").String())
	switch {
	case model == "":
		return i.invalid("body.model is missing")
	case i.file.Model != "" && i.file.Model != model:
		return i.invalid("body.model differs from the first item's")
	}
	i.file.Model = model
	return nil
}

func (i *Intake) addItem(ctx context.Context, line []byte) error {
	full := i.lotItems == i.policy.LotItems || int64(i.lot.Len()+len(line)) > i.policy.LotBytes
	if full && i.lotItems > 0 {
		if err := i.flush(ctx); err != nil {
			return err
		}
	}
	i.lot.Write(line)
	i.lot.WriteByte('\n')
	_, _ = i.hash.Write(line)
	_, _ = i.hash.Write([]byte{'\n'})
	i.lotItems++
	i.file.Items++
	i.file.Bytes += int64(len(line) + 1)
	return nil
}

func (i *Intake) flush(ctx context.Context) error {
	if i.lotItems == 0 {
		return nil
	}
	err := putObject(ctx, i.objects, InputObject(i.file.ID, i.file.Lots), i.lot.Bytes())
	if err != nil {
		return err
	}
	i.file.Lots++
	i.lotItems = 0
	i.lot.Reset()
	return nil
}

// putAttempts bounds the attempts of a put whose outcome is unknown. Repeating it is safe, since it stores the same
// bytes.
const putAttempts = 4

func putObject(ctx context.Context, objects Objects, name tablestore.ObjectName, data []byte) error {
	var err error
	for range putAttempts {
		err = objects.Put(ctx, name, data)
		if !errors.Is(err, tablestore.ErrUnknown) {
			break
		}
	}
	return storeError(err)
}
