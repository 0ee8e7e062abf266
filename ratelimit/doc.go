// Package ratelimit enforces the rates of tenants over all daemons together.
//
// Requests are counted where permits are granted, as each request asks for one there anyway: by
// the daemons that dispatch services, here called grantors. A fleet of any size has only a few of
// them. Each keeps a copy of every tenant's token bucket, deducts its own grants at once, and
// deducts those of the others when they report them, a few times a second. Until the next
// reports arrive it grants no more than its share of what was left, so that all together grant
// no more than the bucket holds.
//
// What is unknown counts as used. While a grantor that has served a tenant is silent, the others
// do not refill the part of the rate that it may be using. A daemon that sees only a part of the
// fleet uses only that part of every rate. A daemon that has just become a grantor has nearly
// empty buckets until another one has reported their levels.
//
// Limiter is the pure part: time and randomness are passed in. FleetLimiter is a daemon's
// limiter, safe for concurrent use, which decides when reports are exchanged.
package ratelimit
