package endpoint

import (
	"context"
	"encoding/json"
	"errors"
	"io"
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

// maxLoadBytes bounds the body of a load report.
const maxLoadBytes = 64 << 10

// Load requests an engine's load.
func (c *Client) Load(ctx context.Context, target Endpoint) (Load, error) {
	req, err := sling.New().Base("http://" + target.Address).Get("/load").Request()
	if err != nil {
		return Load{}, err
	}
	response, err := c.pooled.RoundTrip(req.WithContext(ctx))
	if err != nil {
		return Load{}, sendError(err)
	}
	defer func() {
		_ = response.Body.Close()
	}()
	if response.StatusCode != http.StatusOK {
		return Load{}, ErrBroken
	}
	var load Load
	if err := json.NewDecoder(io.LimitReader(response.Body, maxLoadBytes)).Decode(&load); err != nil {
		return Load{}, errors.Join(ErrBroken, err)
	}
	return load, nil
}
