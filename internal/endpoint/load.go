package endpoint

import (
	"context"
	"net/http"

	"github.com/dghubble/sling"
)

// Load is an endpoint's own report of its load. It lags by AgeMilliseconds.
type Load struct {
	Running         int
	Waiting         int
	Slots           int
	AgeMilliseconds int64
}

// FleetLoad is the number of requests that all processes have in flight at an endpoint, as counted by its steward.
type FleetLoad struct {
	Online int
	Batch  int
}

// Load requests an engine's load.
func (c *Client) Load(ctx context.Context, target Endpoint) (Load, error) {
	req, err := sling.New().Base("http://" + target.Address).Get("/load").Request()
	if err != nil {
		return Load{}, err
	}
	var load Load
	response, err := sling.New().Client(c.pooled).Do(req.WithContext(ctx), &load, nil)
	if err != nil {
		return Load{}, sendError(err)
	}
	if response.StatusCode != http.StatusOK {
		return Load{}, ErrBroken
	}
	return load, nil
}
