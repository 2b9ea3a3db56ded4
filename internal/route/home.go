package route

import "github.com/cespare/xxhash/v2"

// HomeService returns the service whose steward counts the requests of all organisations. It is the one that ranks first by
// a hash of its name, so that all VMs with the same configuration choose the same one. It is empty if there are no services.
func (c *Config) HomeService() Service {
	var home Service
	best := uint64(0)
	consider := func(service Service) {
		rank := xxhash.Sum64String("home " + string(service))
		if home == "" || rank > best || rank == best && service < home {
			home, best = service, rank
		}
	}
	for i := range c.Services {
		consider(c.Services[i].Name)
	}
	if home != "" {
		return home
	}
	for i := range c.Routes {
		for _, share := range c.Routes[i].Shares {
			consider(share.Service)
		}
	}
	return home
}
