package vm

import (
	"context"
	"net/http"
	"time"

	"rhubarbrudder/internal/forward"
	"rhubarbrudder/internal/route"
	"rhubarbrudder/platform"
)

// identify returns on whose behalf a request is made, according to the configuration. It is called for each request, because a
// key may be revoked while its connection is open.
func (f *front) identify(r *http.Request, config *route.Config) forward.Caller {
	caller := forward.Caller{
		Keyed: config.HasOrganisations(),
	}
	if !caller.Keyed {
		return caller
	}
	if key, ok := f.headers.Key(r); ok {
		if organisation := config.OrganisationByKey(key); organisation != nil {
			caller.Organisation = organisation.ID
		}
	}
	return caller
}

// isPublic reports whether a request needs no key. The route of a call about a job is any batch route of the host, or rt if the
// host has none.
func isPublic(r *http.Request, config *route.Config, rt *route.Route) bool {
	if _, isCall := platform.ParseJobCall(r); !isCall || !hasBatchRoute(config, r.Host) {
		return rt != nil && rt.Public
	}
	for i := range config.Routes {
		if candidate := &config.Routes[i]; candidate.Kind == route.KindBatch && candidate.Host == r.Host && candidate.Public {
			return true
		}
	}
	return false
}

// permit refuses a request that lacks the key that it needs, and reports whether it was permitted. It is for configurations with
// organisations.
func (f *front) permit(w http.ResponseWriter, r *http.Request, caller forward.Caller, public bool) bool {
	switch {
	case public:
		return true
	case f.outdated():
		f.refuseUnread(w, r, http.StatusServiceUnavailable, "configuration not confirmed")
		return false
	case caller.Organisation == "":
		f.headers.SetChallenge(w.Header())
		f.refuseUnread(w, r, http.StatusUnauthorized, "no known key")
		return false
	}
	return true
}

// confirmationCheck is the time between checks of the configuration's age for the log.
const confirmationCheck = 500 * time.Millisecond

// unconfirmed reports whether this VM may not know that a key was revoked, as its configuration was not confirmed lately.
func (p *Process) unconfirmed() bool {
	age, known := p.operator.SinceConfirmed()
	return !known || age > time.Duration(p.settings.Keys.RevokeTime)
}

// outdated reports whether this VM must refuse requests that need a key.
func (p *Process) outdated() bool {
	return p.settings.Keys.FailClosed && p.unconfirmed()
}

// watchConfirmation logs when the age of a configuration with organisations passes the limit, until ctx ends.
func (p *Process) watchConfirmation(ctx context.Context) {
	was := false
	for {
		select {
		case <-ctx.Done():
			return
		case <-time.After(confirmationCheck):
		}
		config := p.view.Current()
		is := config != nil && config.HasOrganisations() && p.unconfirmed()
		switch {
		case is && !was:
			p.log.Warn("configuration not confirmed, keys may have been revoked", "version", config.Version, "limit", time.Duration(p.settings.Keys.RevokeTime), "refusing", p.settings.Keys.FailClosed)
		case was && !is:
			p.log.Info("configuration confirmed again")
		}
		was = is
	}
}
