package route

import "crypto/sha256"

// OrganisationID names an organisation that calls the system.
type OrganisationID string

// KeyDigest is the SHA-256 digest of a key. Keys themselves are not kept.
type KeyDigest [sha256.Size]byte

// DigestKey returns the digest of a key.
func DigestKey(key string) KeyDigest {
	return sha256.Sum256([]byte(key))
}

// Allowance is the number of requests that an organisation may send, over all VMs together.
type Allowance struct {
	// Rate is the number of requests per second; zero means no limit.
	Rate float64
	// Burst is how many requests may be sent at once beyond the rate.
	Burst float64
}

// Limited reports whether there is a limit.
func (a Allowance) Limited() bool {
	return a.Rate > 0
}

// Organisation is an organisation in the configuration.
type Organisation struct {
	ID OrganisationID
	// Keys holds the digests of the keys that the organisation may use.
	Keys []KeyDigest
	// Rank is the organisation's priority, which goes before that of a route; zero is the most urgent.
	Rank      int
	Allowance Allowance
}

// HasOrganisations reports whether requests need the key of an organisation, unless their route is public.
func (c *Config) HasOrganisations() bool {
	return len(c.Organisations) > 0
}

// organisationIndex locates the organisations of a configuration, of which there may be thousands.
type organisationIndex struct {
	byID  map[OrganisationID]*Organisation
	byKey map[KeyDigest]*Organisation
	// leastUrgent is the highest rank of any organisation.
	leastUrgent int
}

// IndexOrganisations makes lookups of organisations independent of their number. It must be called again if Organisations
// changes. Of several organisations with the same id or key, the first one counts; a later one with the same id adds its keys.
func (c *Config) IndexOrganisations() {
	c.index = newOrganisationIndex(c.Organisations)
}

func newOrganisationIndex(organisations []Organisation) *organisationIndex {
	index := &organisationIndex{
		byID:  make(map[OrganisationID]*Organisation, len(organisations)),
		byKey: make(map[KeyDigest]*Organisation, len(organisations)),
	}
	for i := range organisations {
		o := &organisations[i]
		if first, known := index.byID[o.ID]; known {
			o = first
		} else {
			index.byID[o.ID] = o
		}
		index.leastUrgent = max(index.leastUrgent, o.Rank)
		for _, key := range organisations[i].Keys {
			if _, known := index.byKey[key]; !known {
				index.byKey[key] = o
			}
		}
	}
	return index
}

// organisations returns the index, or a new one if IndexOrganisations has not been called.
func (c *Config) organisations() *organisationIndex {
	if c.index == nil {
		return newOrganisationIndex(c.Organisations)
	}
	return c.index
}

// Organisation returns an organisation, or nil if the configuration does not have it.
func (c *Config) Organisation(id OrganisationID) *Organisation {
	return c.organisations().byID[id]
}

// OrganisationByKey returns the organisation that a key belongs to, or nil if no organisation has the key.
func (c *Config) OrganisationByKey(key KeyDigest) *Organisation {
	return c.organisations().byKey[key]
}

const (
	// routeRanks is the number of ranks of routes that are told apart within a rank of organisations.
	routeRanks = 1000
	// maxOrganisationRank bounds the rank of an organisation, so that ranks can be composed without overflow.
	maxOrganisationRank = 1_000_000
)

// Rank returns the rank of an organisation's requests on a route: the organisation's rank goes before that of the route. Requests
// without an organisation count as those of one with rank zero. An organisation that the configuration does not have, which may
// still have open batch jobs, ranks with the least urgent one.
func (c *Config) Rank(id OrganisationID, r *Route) int {
	if !c.HasOrganisations() {
		return r.Rank
	}
	rank := 0
	if id != "" {
		index := c.organisations()
		rank = index.leastUrgent
		if o := index.byID[id]; o != nil {
			rank = o.Rank
		}
	}
	return min(max(rank, 0), maxOrganisationRank)*routeRanks + min(max(r.Rank, 0), routeRanks-1)
}
