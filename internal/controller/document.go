package controller

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"

	"rhubarbrudder/internal/document"
)

// SectionBody is a section and the version it has.
type SectionBody struct {
	Name     document.SectionName
	Version  document.SectionVersion
	Revision document.Revision
	Owners   []document.Hash
	Entries  map[document.EntryName]json.RawMessage
}

// Failure is an error as operators are told it.
type Failure struct {
	Code    string
	Message string
	// Current is the section in force, for an editor who lost a race.
	Current *SectionBody `json:",omitempty"`
	// Difference is what both editors changed, if the history reaches back to the version that was edited.
	Difference *document.ThreeWay `json:",omitempty"`
}

func (c *Controller) section(name document.SectionName) SectionBody {
	doc := c.documents.View().Document()
	return SectionBody{
		Name:     name,
		Version:  doc.Versions[name],
		Revision: doc.Revision,
		Owners:   doc.Sections[name].Owners,
		Entries:  doc.Sections[name].Entries,
	}
}

func (c *Controller) serveSection(w http.ResponseWriter, r *http.Request, _ document.Hash) {
	body := c.section(document.SectionName(r.PathValue("section")))
	w.Header().Set("ETag", strconv.Quote(strconv.FormatInt(int64(body.Version), 10)))
	writeJSON(w, http.StatusOK, body)
}

const (
	// maxSectionBytes bounds a section as it is put.
	maxSectionBytes = 64 << 20
	// headerChangeID carries the id of a change, chosen by the editor.
	headerChangeID = "Idempotency-Key"
	// maxChangeID bounds the id of a change.
	maxChangeID = 200
	// majorityWithin is how lately a majority of VMs must have been heard for a change to be accepted.
	majorityWithin = 8 * time.Second
	// snapshotTimeout bounds the writing of a snapshot.
	snapshotTimeout = time.Minute
	// authorDigits is how much of the hash of an editor's token is kept with a change.
	authorDigits = 8
)

var (
	errIfMatch  = errors.New("controller: If-Match must hold the version of the section that was changed")
	errChangeID = errors.New("controller: Idempotency-Key must hold an id for the change, of at most 200 bytes")
	errSection  = errors.New("controller: the section is not JSON or too large")
	errMinority = errors.New("controller: this VM hears less than half of the VMs, not accepted")
)

// put is an editor's request to replace a section.
type put struct {
	name   document.SectionName
	id     string
	base   document.SectionVersion
	wanted document.Section
	hash   document.Hash
}

func readPut(w http.ResponseWriter, r *http.Request) (put, error) {
	p := put{
		name: document.SectionName(r.PathValue("section")),
		id:   r.Header.Get(headerChangeID),
	}
	base, err := strconv.ParseInt(strings.Trim(r.Header.Get("If-Match"), `"`), 10, 64)
	if err != nil {
		return p, errIfMatch
	}
	p.base = document.SectionVersion(base)
	if p.id == "" || len(p.id) > maxChangeID {
		return p, errChangeID
	}
	data, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxSectionBytes))
	if err != nil {
		return p, errors.Join(errSection, err)
	}
	decoder := json.NewDecoder(bytes.NewReader(data))
	if err := decoder.Decode(&p.wanted); err != nil {
		return p, errors.Join(errSection, err)
	}
	p.hash = document.HashOf(string(p.name) + "/" + strconv.FormatInt(base, 10) + "/" + string(data))
	return p, nil
}

func (c *Controller) servePut(w http.ResponseWriter, r *http.Request, token document.Hash) {
	name := document.SectionName(r.PathValue("section"))
	if !c.owns(token, name) {
		c.fail(w, name, document.ErrForbidden)
		return
	}
	p, err := readPut(w, r)
	if err != nil {
		c.fail(w, name, err)
		return
	}
	accepted, err := c.accept(r.Context(), p, token)
	if errors.Is(err, document.ErrStale) {
		c.failStale(w, r, p)
		return
	}
	if err != nil {
		c.fail(w, name, err)
		return
	}
	c.log.Info("change accepted", "change", accepted.ID, "section", name, "revision", accepted.Revision)
	writeJSON(w, http.StatusOK, accepted)
}

// Accepting reports whether changes are accepted here; a controller that has just started has heard nobody yet.
func (c *Controller) Accepting() bool {
	return c.members.Majority(majorityWithin)
}

// accept commits the difference between the section in force and the wanted one. In a minority nothing is accepted:
// a majority that is cut off from the platform goes on with the revision it has.
func (c *Controller) accept(ctx context.Context, p put, token document.Hash) (document.Change, error) {
	if !c.Accepting() {
		return document.Change{}, errMinority
	}
	if err := c.documents.Refresh(ctx); err != nil {
		return document.Change{}, err
	}
	view := c.documents.View()
	if !c.owns(token, p.name) {
		return document.Change{}, document.ErrForbidden
	}
	change := document.Difference(view.Document().Sections[p.name], p.wanted)
	change.ID = p.id
	change.Section = p.name
	change.Base = p.base
	change.Request = p.hash
	change.Author = string(token[:authorDigits])
	view, accepted, err := c.store.AcceptOn(ctx, view, change)
	if err != nil {
		return accepted, err
	}
	c.documents.Accepted(ctx, view, accepted)
	if document.SnapshotDue(accepted.Revision) {
		c.snapshots.Go(func() {
			c.snapshot(context.WithoutCancel(ctx), view.Document())
		})
	}
	return accepted, nil
}

func (c *Controller) snapshot(ctx context.Context, doc document.Document) {
	ctx, cancel := context.WithTimeout(ctx, snapshotTimeout)
	defer cancel()
	if err := c.store.Snapshot(ctx, doc); err != nil {
		c.log.Warn("snapshot not stored", "revision", doc.Revision, "err", err)
		return
	}
	c.log.Info("snapshot stored", "revision", doc.Revision)
}

// Wait waits until snapshots under way are stored.
func (c *Controller) Wait() {
	c.snapshots.Wait()
}

// failStale answers an editor who lost a race with the section in force and what both changed.
func (c *Controller) failStale(w http.ResponseWriter, r *http.Request, p put) {
	current := c.section(p.name)
	failure := Failure{
		Code:    "Stale",
		Message: document.ErrStale.Error(),
		Current: &current,
	}
	since, ok := c.sectionChanges(r.Context(), current, p.base)
	if ok {
		difference := document.Compare(document.Section{
			Entries: current.Entries,
		}, since, p.wanted)
		failure.Difference = &difference
	}
	c.log.Info("change refused", "section", p.name, "code", failure.Code, "base", p.base, "version", current.Version)
	writeJSON(w, http.StatusPreconditionFailed, failure)
}

// lookedBack is how many revisions an editor's version may lie back for the difference to be shown.
const lookedBack = 1000

// sectionChanges returns what was accepted of the section after the version, and whether that is all of it.
func (c *Controller) sectionChanges(ctx context.Context, current SectionBody, after document.SectionVersion) ([]document.Change, bool) {
	from := max(0, current.Revision-lookedBack)
	changes, err := c.store.Changes(ctx, from, lookedBack)
	if err != nil {
		return nil, false
	}
	var since []document.Change
	for _, change := range changes {
		if change.Section == current.Name && change.Base >= after && change.Revision <= current.Revision {
			since = append(since, change)
		}
	}
	return since, len(since) == int(current.Version-after)
}

func (c *Controller) fail(w http.ResponseWriter, name document.SectionName, err error) {
	failure := Failure{
		Code:    "Internal",
		Message: err.Error(),
	}
	status := http.StatusInternalServerError
	switch {
	case errors.Is(err, document.ErrForbidden):
		status, failure.Code = http.StatusForbidden, "Forbidden"
	case errors.Is(err, document.ErrReused):
		status, failure.Code = http.StatusConflict, "IDReused"
	case errors.Is(err, document.ErrInvalid), errors.Is(err, errIfMatch), errors.Is(err, errChangeID), errors.Is(err, errSection):
		status, failure.Code = http.StatusUnprocessableEntity, "Invalid"
	case errors.Is(err, document.ErrUnknown):
		status, failure.Code = http.StatusGatewayTimeout, "OutcomeUnknown"
	case errors.Is(err, errMinority):
		status, failure.Code = http.StatusServiceUnavailable, "Minority"
	case errors.Is(err, document.ErrUnavailable), errors.Is(err, document.ErrContended):
		status, failure.Code = http.StatusServiceUnavailable, "Unavailable"
	}
	c.log.Info("change refused", "section", name, "code", failure.Code, "err", err)
	writeJSON(w, status, failure)
}
