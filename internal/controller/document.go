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

// SectionBody is a section with its version and the document's revision.
type SectionBody struct {
	Name     document.SectionName
	Version  document.SectionVersion
	Revision document.Revision
	Owners   []document.Hash
	Entries  map[document.EntryName]json.RawMessage
}

// Failure is an error in the form that operators receive.
type Failure struct {
	Code    string
	Message string
	// Current is the section in force; it is set if the section has changed since the version that was edited.
	Current *SectionBody `json:",omitempty"`
	// Difference compares both editors' changes; it is set if the history reaches back to the version that was edited.
	Difference *document.ThreeWay `json:",omitempty"`
}

func (c *Controller) sectionBody(name document.SectionName) SectionBody {
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
	body := c.sectionBody(document.SectionName(r.PathValue("section")))
	w.Header().Set("ETag", strconv.Quote(strconv.FormatInt(int64(body.Version), 10)))
	writeJSON(w, http.StatusOK, body)
}

const (
	// maxSectionBytes bounds the body of a request to replace a section.
	maxSectionBytes = 64 << 20
	// headerChangeID carries the id of a change, which the editor chooses.
	headerChangeID = "Idempotency-Key"
	// maxChangeIDBytes bounds the length of a change's id.
	maxChangeIDBytes = 200
	// majorityWindow is how recently another VM must have answered for this controller to accept changes.
	majorityWindow = 8 * time.Second
	// snapshotTimeout bounds the writing of a snapshot.
	snapshotTimeout = time.Minute
	// authorDigits is how many digits of the hash of an editor's token are stored with a change.
	authorDigits = 8
)

var (
	errInvalidIfMatch  = errors.New("controller: If-Match must hold the version of the section that was changed")
	errInvalidChangeID = errors.New("controller: Idempotency-Key must hold an id for the change, of at most 200 bytes")
	errInvalidSection  = errors.New("controller: the section is not JSON or too large")
	errMinority        = errors.New("controller: this VM hears less than half of the VMs, not accepted")
)

// sectionEdit is an editor's request to replace a section.
type sectionEdit struct {
	name document.SectionName
	// id is the id of the change, which the editor chooses.
	id string
	// base is the version that the editor has edited.
	base    document.SectionVersion
	section document.Section
	// hash is the hash of the request's content. It tells a repeated request from another one with the same id.
	hash document.Hash
}

func readSectionEdit(w http.ResponseWriter, r *http.Request) (sectionEdit, error) {
	edit := sectionEdit{
		name: document.SectionName(r.PathValue("section")),
		id:   r.Header.Get(headerChangeID),
	}
	base, err := strconv.ParseInt(strings.Trim(r.Header.Get("If-Match"), `"`), 10, 64)
	if err != nil {
		return edit, errInvalidIfMatch
	}
	edit.base = document.SectionVersion(base)
	if edit.id == "" || len(edit.id) > maxChangeIDBytes {
		return edit, errInvalidChangeID
	}
	data, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxSectionBytes))
	if err != nil {
		return edit, errors.Join(errInvalidSection, err)
	}
	decoder := json.NewDecoder(bytes.NewReader(data))
	if err := decoder.Decode(&edit.section); err != nil {
		return edit, errors.Join(errInvalidSection, err)
	}
	edit.hash = document.HashOf(string(edit.name) + "/" + strconv.FormatInt(base, 10) + "/" + string(data))
	return edit, nil
}

func (c *Controller) servePut(w http.ResponseWriter, r *http.Request, token document.Hash) {
	name := document.SectionName(r.PathValue("section"))
	if !c.owns(token, name) {
		c.refuseChange(w, name, document.ErrForbidden)
		return
	}
	edit, err := readSectionEdit(w, r)
	if err != nil {
		c.refuseChange(w, name, err)
		return
	}
	accepted, err := c.acceptEdit(r.Context(), edit, token)
	if errors.Is(err, document.ErrStale) {
		c.writeStaleError(w, r, edit)
		return
	}
	if err != nil {
		c.refuseChange(w, name, err)
		return
	}
	c.log.Info("change accepted", "change", accepted.ID, "section", name, "revision", accepted.Revision)
	writeJSON(w, http.StatusOK, accepted)
}

// Accepting reports whether this controller accepts changes. One that has just started does not, because it has not
// heard from a majority of VMs yet.
func (c *Controller) Accepting() bool {
	return c.members.Majority(majorityWindow)
}

// acceptEdit commits the difference between the section in force and the edited one. A controller in a minority accepts
// nothing, because the majority may be cut off from the platform and continue with the revision that it has.
func (c *Controller) acceptEdit(ctx context.Context, edit sectionEdit, token document.Hash) (document.Change, error) {
	if !c.Accepting() {
		return document.Change{}, errMinority
	}
	if err := c.documents.Refresh(ctx); err != nil {
		return document.Change{}, err
	}
	view := c.documents.View()
	if !c.owns(token, edit.name) {
		return document.Change{}, document.ErrForbidden
	}
	change := document.Difference(view.Document().Sections[edit.name], edit.section)
	change.ID = edit.id
	change.Section = edit.name
	change.Base = edit.base
	change.Request = edit.hash
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

// Wait waits until the snapshots in progress are stored.
func (c *Controller) Wait() {
	c.snapshots.Wait()
}

// writeStaleError answers an edit of an outdated version with the section in force and the changes of both editors.
func (c *Controller) writeStaleError(w http.ResponseWriter, r *http.Request, edit sectionEdit) {
	current := c.sectionBody(edit.name)
	failure := Failure{
		Code:    "Stale",
		Message: document.ErrStale.Error(),
		Current: &current,
	}
	changes, ok := c.sectionChanges(r.Context(), current, edit.base)
	if ok {
		difference := document.Compare(document.Section{
			Entries: current.Entries,
		}, changes, edit.section)
		failure.Difference = &difference
	}
	c.log.Info("change refused", "section", edit.name, "code", failure.Code, "base", edit.base, "version", current.Version)
	writeJSON(w, http.StatusPreconditionFailed, failure)
}

// maxHistoryRevisions is how many revisions back the edited version may be for the difference to be shown.
const maxHistoryRevisions = 1000

// sectionChanges returns the changes to the section after the version, and whether they are complete.
func (c *Controller) sectionChanges(ctx context.Context, current SectionBody, after document.SectionVersion) ([]document.Change, bool) {
	from := max(0, current.Revision-maxHistoryRevisions)
	changes, err := c.store.Changes(ctx, from, maxHistoryRevisions)
	if err != nil {
		return nil, false
	}
	var found []document.Change
	for _, change := range changes {
		if change.Section == current.Name && change.Base >= after && change.Revision <= current.Revision {
			found = append(found, change)
		}
	}
	return found, len(found) == int(current.Version-after)
}

// refuseChange answers with the error of a change that was refused.
func (c *Controller) refuseChange(w http.ResponseWriter, name document.SectionName, err error) {
	c.log.Info("change refused", "section", name, "code", c.writeError(w, err), "err", err)
}

// writeError answers with the error and returns its code.
func (c *Controller) writeError(w http.ResponseWriter, err error) string {
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
	case errors.Is(err, document.ErrInvalid), errors.Is(err, errInvalidIfMatch), errors.Is(err, errInvalidChangeID), errors.Is(err, errInvalidSection):
		status, failure.Code = http.StatusUnprocessableEntity, "Invalid"
	case errors.Is(err, document.ErrUnknown):
		status, failure.Code = http.StatusGatewayTimeout, "OutcomeUnknown"
	case errors.Is(err, errMinority):
		status, failure.Code = http.StatusServiceUnavailable, "Minority"
	case errors.Is(err, document.ErrUnavailable), errors.Is(err, document.ErrContended):
		status, failure.Code = http.StatusServiceUnavailable, "Unavailable"
	}
	writeJSON(w, status, failure)
	return failure.Code
}
