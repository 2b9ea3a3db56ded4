package gateway

import (
	"errors"
	"io"
	"math"
	"net/http"
	"net/url"
	"strconv"
	"strings"

	"rhubarbrudder/internal/job"
	"rhubarbrudder/internal/request"
	"rhubarbrudder/internal/tablestore"
)

// maxFileBytes bounds the size of an uploaded file.
const maxFileBytes = 8 << 30

const (
	outputPrefix = "file-output-"
	errorPrefix  = "file-error-"
)

type fileBody struct {
	ID        string `json:"id"`
	Object    string `json:"object"`
	Bytes     int64  `json:"bytes"`
	CreatedAt int64  `json:"created_at"`
	Filename  string `json:"filename"`
	Purpose   string `json:"purpose"`
	Status    string `json:"status"`
}

func fileBodyOf(file job.File) fileBody {
	return fileBody{
		ID:        string(file.ID),
		Object:    "file",
		Bytes:     file.Bytes,
		CreatedAt: file.Created.Unix(),
		Filename:  file.Name,
		Purpose:   file.Purpose,
		Status:    "processed",
	}
}

// serveUpload stores a file while it is being received; its row is stored after all its lots.
func (g *Gateway) serveUpload(c *caller) error {
	c.r.Body = http.MaxBytesReader(c.w, c.r.Body, maxFileBytes)
	parts, err := c.r.MultipartReader()
	if err != nil {
		return request.Invalid("invalid_form", "want multipart/form-data with purpose and file")
	}
	for {
		part, err := parts.NextPart()
		if errors.Is(err, io.EOF) {
			return request.Invalid("invalid_form", "the form has no file")
		}
		if err != nil {
			return request.Invalid("invalid_form", err.Error())
		}
		if part.FormName() != "file" {
			continue
		}
		intake := job.NewIntake(g.jobs.Objects(), c.view.Policy, c.organisation, part.FileName())
		file, err := intake.Read(c.r.Context(), part)
		if err != nil {
			g.discardUpload(c, intake)
			return err
		}
		if err := g.jobs.PutFile(c.r.Context(), file); err != nil {
			if !errors.Is(err, job.ErrUnknown) {
				g.discardUpload(c, intake)
			}
			return err
		}
		g.log.Info("file accepted", "request", c.id, "organisation", c.organisation, "file", file.ID, "items", file.Items, "lots", file.Lots)
		writeJSON(c.w, http.StatusOK, fileBodyOf(file))
		return nil
	}
}

// discardUpload removes what a failed upload has stored.
func (g *Gateway) discardUpload(c *caller, intake *job.Intake) {
	if err := intake.Discard(c.r.Context()); err != nil {
		g.log.Warn("failed upload not removed", "request", c.id, "organisation", c.organisation, "err", err)
	}
}

func (g *Gateway) serveFile(c *caller) error {
	id := c.r.PathValue("file")
	if batch, kind := resultFile(id); kind != "" {
		found, err := g.jobs.Job(c.r.Context(), c.organisation, batch)
		if err != nil {
			return err
		}
		writeJSON(c.w, http.StatusOK, fileBody{
			ID:        id,
			Object:    "file",
			CreatedAt: found.Created.Unix(),
			Filename:  kind + ".jsonl",
			Purpose:   "batch_output",
			Status:    "processed",
		})
		return nil
	}
	file, err := g.jobs.File(c.r.Context(), c.organisation, job.FileID(id))
	if err != nil {
		return err
	}
	writeJSON(c.w, http.StatusOK, fileBodyOf(file))
	return nil
}

// resultFile returns the job and the kind (output or error) of a result file's id. The kind is empty for other files.
func resultFile(id string) (job.ID, string) {
	if batch, ok := strings.CutPrefix(id, outputPrefix); ok {
		return job.ID(batch), "output"
	}
	if batch, ok := strings.CutPrefix(id, errorPrefix); ok {
		return job.ID(batch), "error"
	}
	return "", ""
}

// serveContent streams a file's content, lot by lot. The results of a job can be read while it runs.
func (g *Gateway) serveContent(c *caller) error {
	objects, err := g.contentObjects(c)
	if err != nil {
		return err
	}
	c.w.Header().Set("Content-Type", "application/jsonl")
	begun := false
	for _, name := range objects {
		if err := g.copyObject(c, name); err != nil {
			if begun {
				return errors.Join(errAnswerInterrupted, err)
			}
			return err
		}
		begun = true
	}
	return nil
}

// contentObjects returns the names of the objects that make up the requested file or page of results, in order.
func (g *Gateway) contentObjects(c *caller) ([]tablestore.ObjectName, error) {
	id := c.r.PathValue("file")
	batch, kind := resultFile(id)
	if kind == "" {
		return g.inputObjects(c, job.FileID(id))
	}
	found, err := g.jobs.Job(c.r.Context(), c.organisation, batch)
	if err != nil {
		return nil, err
	}
	lots, err := g.jobs.Lots(c.r.Context(), batch)
	if err != nil {
		return nil, err
	}
	if page, paged := parsePage(c.r.URL.Query()); paged {
		var more bool
		lots, more = page.selectLots(lots, found.State.Ended())
		if more {
			c.w.Header().Set(headerNextLot, string(page.nextAfter(lots)))
		}
	}
	var objects []tablestore.ObjectName
	for _, lot := range lots {
		name := lot.Results
		if kind == "error" {
			name = lot.Errors
		}
		if name != "" {
			objects = append(objects, name)
		}
	}
	return objects, nil
}

// headerNextLot carries the lot after which the next page of results begins; it is absent on the last page.
const headerNextLot = "Rhubarbrudder-Next-After"

// resultPage is the page of a job's results that a caller requests.
type resultPage struct {
	after job.LotID
	limit int
}

// parsePage returns the page that the query requests; it returns false if the query has no paging parameters.
func parsePage(query url.Values) (resultPage, bool) {
	limit, err := strconv.Atoi(query.Get("limit"))
	if err != nil || limit < 1 {
		limit = math.MaxInt
	}
	return resultPage{
		after: job.LotID(query.Get("after")),
		limit: limit,
	}, query.Has("after") || query.Has("limit")
}

// selectLots returns the page's lots and whether more will follow. While the job runs, a page ends before the first
// unfinished lot, so that a reader that continues after the last lot of each page misses none. A lot that was never
// claimed has no row; it shows as a gap in the numbers of the lots that are not remainders.
func (p resultPage) selectLots(lots []job.LotRow, ended bool) (selected []job.LotRow, more bool) {
	nextNumber := 0
	for _, lot := range lots {
		gap := lot.Remainder == 0 && lot.ID != job.BaseLot(nextNumber)
		if !ended && (gap || lot.State != job.LotDone) {
			return selected, true
		}
		if lot.Remainder == 0 {
			nextNumber++
		}
		if lot.ID <= p.after {
			continue
		}
		if len(selected) == p.limit {
			return selected, true
		}
		selected = append(selected, lot)
	}
	return selected, !ended
}

// nextAfter returns the lot after which the next page begins.
func (p resultPage) nextAfter(selected []job.LotRow) job.LotID {
	if len(selected) == 0 {
		return p.after
	}
	return selected[len(selected)-1].ID
}

func (g *Gateway) inputObjects(c *caller, id job.FileID) ([]tablestore.ObjectName, error) {
	file, err := g.jobs.File(c.r.Context(), c.organisation, id)
	if err != nil {
		return nil, err
	}
	objects := make([]tablestore.ObjectName, 0, file.Lots)
	for number := range file.Lots {
		objects = append(objects, job.InputObject(file.ID, number))
	}
	return objects, nil
}

func (g *Gateway) copyObject(c *caller, name tablestore.ObjectName) error {
	body, err := g.jobs.Objects().Open(c.r.Context(), name)
	if err != nil {
		return errors.Join(job.ErrUnavailable, err)
	}
	defer func() { _ = body.Close() }()
	_, err = io.Copy(c.w, body)
	return err
}
