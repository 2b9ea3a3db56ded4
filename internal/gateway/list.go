package gateway

import (
	"net/http"
	"strconv"

	"rhubarbrudder/internal/job"
	"rhubarbrudder/internal/request"
)

const (
	defaultFilePageSize = 1000
	maxFilePageSize     = 10000
)

// serveFiles lists the organisation's input files.
func (g *Gateway) serveFiles(c *caller) error {
	query := c.r.URL.Query()
	limit, err := strconv.Atoi(query.Get("limit"))
	if err != nil || limit < 1 {
		limit = defaultFilePageSize
	}
	limit = min(limit, maxFilePageSize)
	found, err := g.jobs.FilesOf(c.r.Context(), c.organisation, job.FileID(query.Get("after")), limit+1)
	if err != nil {
		return err
	}
	bodies := make([]fileBody, 0, len(found))
	for _, file := range found[:min(limit, len(found))] {
		bodies = append(bodies, fileBodyOf(file))
	}
	writeJSON(c.w, http.StatusOK, listBody{
		Object:  "list",
		Data:    bodies,
		HasMore: len(found) > limit,
	})
	return nil
}

type deletedBody struct {
	ID      string `json:"id"`
	Object  string `json:"object"`
	Deleted bool   `json:"deleted"`
}

// serveDeleteFile marks an input file as deleted; result files can't be deleted and stay readable until their
// retention ends.
func (g *Gateway) serveDeleteFile(c *caller) error {
	id := c.r.PathValue("file")
	if _, kind := resultFile(id); kind != "" {
		return request.Invalid("result_file", "results are kept until their retention ends")
	}
	if err := g.jobs.DeleteFile(c.r.Context(), c.organisation, job.FileID(id)); err != nil {
		return err
	}
	g.log.Info("file deleted", "request", c.id, "organisation", c.organisation, "file", id)
	writeJSON(c.w, http.StatusOK, deletedBody{
		ID:      id,
		Object:  "file",
		Deleted: true,
	})
	return nil
}

// serveUnknownPath answers requests for paths that do not exist, in the format of all errors.
func (g *Gateway) serveUnknownPath(c *caller) error {
	ticket := &request.Ticket{}
	return ticket.Refuse(http.StatusNotFound, "unknown_url", "there is no "+c.r.Method+" "+c.r.URL.Path, 0)
}
