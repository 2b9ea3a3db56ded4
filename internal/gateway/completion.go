package gateway

import (
	"cmp"
	"errors"
	"net/http"
	"net/url"
	"path"
	"slices"
	"strings"
	"time"

	"rhubarbrudder/internal/document"
	"rhubarbrudder/internal/endpoint"
	"rhubarbrudder/internal/queue"
	"rhubarbrudder/internal/request"
)

// requestDeadline bounds an online request from arrival to the end of its answer.
const requestDeadline = 10 * time.Minute

func (g *Gateway) serveCompletion(c *caller) error {
	body, err := c.body()
	if err != nil {
		return err
	}
	shape, err := request.ParseShape(c.r.URL.Path, body)
	if err != nil {
		return err
	}
	service, ok := c.view.ServiceOf(shape.Model)
	if !ok {
		return errUnknownModel
	}
	return g.forward(c, request.Request{
		ID:           c.id,
		Organisation: c.organisation,
		Service:      service,
		Class:        request.ClassOnline,
		Method:       http.MethodPost,
		Path:         c.r.URL.Path,
		Header:       c.r.Header,
		Body:         body,
		Shape:        shape,
		Idempotent:   true,
		Deadline:     time.Now().Add(requestDeadline),
	})
}

func (g *Gateway) servePlain(c *caller) error {
	name := document.ServiceName(c.r.PathValue("service"))
	service, ok := c.view.Services[name]
	if !ok || service.Kind != document.KindPlain {
		return errUnknownService
	}
	body, err := c.body()
	if err != nil {
		return err
	}
	target, err := plainServiceURL(c.r)
	if err != nil {
		return err
	}
	return g.forward(c, request.Request{
		ID:           c.id,
		Organisation: c.organisation,
		Service:      name,
		Class:        request.ClassOnline,
		Method:       c.r.Method,
		Path:         target.RequestURI(),
		Header:       c.r.Header,
		Body:         body,
		Idempotent:   idempotent(service, c.r.Method, target.Path),
		Deadline:     time.Now().Add(requestDeadline),
	})
}

// plainServiceURL returns the path and query at the service. A path that cleaning would change is rejected: it could
// name another host, or be an alternative spelling of a non-idempotent path.
func plainServiceURL(r *http.Request) (url.URL, error) {
	target := url.URL{
		Path:     "/" + r.PathValue("path"),
		RawQuery: r.URL.RawQuery,
	}
	clean := path.Clean(target.Path)
	if strings.HasSuffix(target.Path, "/") && clean != "/" {
		clean += "/"
	}
	if clean != target.Path {
		return url.URL{}, request.Invalid("invalid_path", "the path is not in its shortest form")
	}
	return target, nil
}

// idempotent reports whether a request to a plain service can safely be repeated.
func idempotent(service document.Service, method, target string) bool {
	if method == http.MethodGet || method == http.MethodHead {
		return true
	}
	for _, prefix := range service.NonIdempotentPaths {
		if strings.HasPrefix(target, prefix) {
			return false
		}
	}
	return true
}

// forward counts the request against the organisation's limit, waits for a slot and routes the request.
func (g *Gateway) forward(c *caller, req request.Request) error {
	settings := c.view.Organisations[c.organisation]
	releaseLimit, err := g.limiter.Enter(c.r.Context(), c.organisation, settings)
	if err != nil {
		return err
	}
	defer releaseLimit()
	releaseSlot, err := g.queue.Enter(c.r.Context(), queue.SlotRequest{
		Service:      req.Service,
		Organisation: req.Organisation,
		Weight:       settings.Weight,
		Cost:         float64(max(1, req.Shape.MaxTokens)),
		Wait:         time.Duration(c.view.Services[req.Service].QueueMilliseconds) * time.Millisecond,
	})
	if err != nil {
		return err
	}
	defer releaseSlot()
	if !req.Idempotent {
		return g.callAtMostOnce(c, req)
	}
	out := newSink(c)
	started := time.Now()
	err = g.router.Do(c.r.Context(), req, c.ticket, out)
	if err != nil && out.begun {
		return errors.Join(errAnswerInterrupted, err)
	}
	if err == nil {
		g.log.Debug("request served", endpoint.HeaderRequestID, req.ID, "organisation", req.Organisation, "service", req.Service, "took", time.Since(started))
	}
	return err
}

type modelBody struct {
	ID      string `json:"id"`
	Object  string `json:"object"`
	Created int64  `json:"created"`
	OwnedBy string `json:"owned_by"`
}

type listBody struct {
	Object  string `json:"object"`
	Data    any    `json:"data"`
	HasMore bool   `json:"has_more"`
}

func (g *Gateway) serveModels(c *caller) error {
	var models []modelBody
	add := func(name document.ModelName) {
		if _, served := c.view.ServiceOf(name); served {
			models = append(models, modelBody{
				ID:      string(name),
				Object:  "model",
				OwnedBy: "rhubarbrudder",
			})
		}
	}
	for name, model := range c.view.Models {
		add(name)
		for _, adapter := range model.Adapters {
			add(document.ModelName(adapter))
		}
	}
	slices.SortFunc(models, func(a, b modelBody) int {
		return cmp.Compare(a.ID, b.ID)
	})
	writeJSON(c.w, http.StatusOK, listBody{
		Object: "list",
		Data:   models,
	})
	return nil
}
