package process

import (
	"net/http"
	"time"

	"rhubarbrudder/internal/settings"
	"rhubarbrudder/internal/tablestore"
	"rhubarbrudder/internal/telemetry"
	"rhubarbrudder/internal/transport"
)

// platformClients holds the HTTP clients for the platform's services.
type platformClients struct {
	table   *http.Client
	objects *http.Client
	list    *http.Client
}

// newPlatformClients returns clients that count their calls, and sign them if an access key is configured. Calls to the
// VM list are never signed.
func newPlatformClients(s settings.Platform, status *telemetry.Status) (platformClients, error) {
	counted, err := telemetry.NewPlatformCalls(status.Meter(), transport.New(&http.Transport{
		MaxIdleConnsPerHost: maxIdlePlatformConnections,
		IdleConnTimeout:     time.Minute,
	}))
	if err != nil {
		return platformClients{}, err
	}
	plain := &http.Client{
		Transport: counted,
	}
	if s.AccessKeyFile == "" {
		return platformClients{
			table:   plain,
			objects: plain,
			list:    plain,
		}, nil
	}
	key, err := tablestore.ReadAccessKey(s.AccessKeyFile)
	if err != nil {
		return platformClients{}, startError(err)
	}
	signed := func(service tablestore.SigningService) *http.Client {
		return &http.Client{
			Transport: tablestore.NewSigner(counted, key, service, s.SigningRegion, time.Now),
		}
	}
	return platformClients{
		table:   signed(tablestore.SigningTable),
		objects: signed(tablestore.SigningObjects),
		list:    plain,
	}, nil
}
