package process

import (
	"net/http"
	"time"

	"rhubarbrudder/internal/settings"
	"rhubarbrudder/internal/tablestore"
	"rhubarbrudder/internal/telemetry"
)

// clients are the HTTP clients of the platform's services.
type clients struct {
	table   *http.Client
	objects *http.Client
	list    *http.Client
}

// newClients returns clients that count their calls, and sign them if there is an access key.
func newClients(s settings.Platform, status *telemetry.Status) (clients, error) {
	transport, err := telemetry.NewPlatformCalls(status.Meter(), &http.Transport{
		MaxIdleConnsPerHost: platformConnections,
		IdleConnTimeout:     time.Minute,
	})
	if err != nil {
		return clients{}, err
	}
	plain := &http.Client{
		Transport: transport,
	}
	if s.AccessKeyFile == "" {
		return clients{
			table:   plain,
			objects: plain,
			list:    plain,
		}, nil
	}
	key, err := tablestore.ReadAccessKey(s.AccessKeyFile)
	if err != nil {
		return clients{}, startError(err)
	}
	signed := func(service tablestore.SigningService) *http.Client {
		return &http.Client{
			Transport: tablestore.NewSigner(transport, key, service, s.SigningRegion, time.Now),
		}
	}
	return clients{
		table:   signed(tablestore.SigningTable),
		objects: signed(tablestore.SigningObjects),
		list:    plain,
	}, nil
}
