// Package rollout moves a service to back ends of a new version, and rolls back if that version is
// worse than the old one.
//
// The dispatcher of the service sends a small share of the requests to the new version (the canary) and
// compares the results with those of the old version over the same time, so that a problem that affects
// both versions is not blamed on the new one. A version that is found worse gets no further requests. A
// version that is not worse by some time before the decision is due gets all requests. Once no request
// is in flight at an old back end, the rollout is completed and operators may stop the old back ends.
//
// The state of a rollout is kept in a record that all daemons follow (config.Rollout). A new dispatcher
// continues from the record, but starts the comparison of the versions again. Daemons that choose back
// ends independently send a version no requests while it is being compared.
//
// Controller and Judge are pure; Runner records what they decide.
package rollout
