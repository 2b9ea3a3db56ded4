package vm

import (
	"rhubarbrudder/internal/inventory"
	"rhubarbrudder/internal/store"
	"rhubarbrudder/platform"
)

// endpointSink passes rows of the list of endpoints to the inventory.
type endpointSink struct {
	process *Process
}

// Replace replaces all endpoints.
func (s endpointSink) Replace(rows []store.Row) {
	endpoints := make([]inventory.Endpoint, 0, len(rows))
	for _, row := range rows {
		if e, ok := s.decode(row); ok {
			endpoints = append(endpoints, e)
		}
	}
	s.process.inventory.Replace(endpoints)
}

// Change applies changed and removed rows. A row that cannot be decoded removes its endpoint.
func (s endpointSink) Change(rows []store.Row) {
	updates := make([]inventory.Update, 0, len(rows))
	for _, row := range rows {
		update := inventory.Update{
			ID:      inventory.ID(row.Address.Key),
			Removed: true,
		}
		if !row.Deleted {
			if e, ok := s.decode(row); ok {
				update.Endpoint = e
				update.Removed = false
			}
		}
		updates = append(updates, update)
	}
	s.process.inventory.Apply(updates)
}

func (s endpointSink) decode(row store.Row) (inventory.Endpoint, bool) {
	e, ok := platform.DecodeEndpoint(row)
	if !ok {
		s.process.log.Warn("endpoint entry cannot be decoded", "endpoint", row.Address.Key, "revision", row.Revision)
	}
	return e, ok
}

// configSink applies configurations.
type configSink struct {
	process *Process
}

// Replace applies the configuration among all rows.
func (s configSink) Replace(rows []store.Row) {
	s.Change(rows)
}

// Change applies the configuration if it is among the changed rows.
func (s configSink) Change(rows []store.Row) {
	for _, row := range rows {
		if row.Address.Key != platform.KeyConfiguration || row.Deleted {
			continue
		}
		config, err := platform.DecodeConfig(row.Value)
		if err != nil {
			s.process.log.Error("configuration cannot be decoded", "revision", row.Revision, "err", err)
			continue
		}
		if s.process.view.Apply(config) {
			s.process.pools.StartClients(config)
		}
	}
}
