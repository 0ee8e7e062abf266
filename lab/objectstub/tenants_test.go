package objectstub_test

import (
	"net/http"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// Keys of the tenants.
const (
	northKey    = "north-secret-one"
	northNewKey = "north-secret-two"
	southKey    = "south-secret"
)

// sendWithKey sends a request with a key.
func (f *fleet) sendWithKey(number int, path, key string) answer {
	return f.sendWith(number, path, func(r *http.Request) { r.Header.Set("Authorization", "Bearer "+key) })
}

// tenantResource returns the resource of a tenant.
func tenantResource(name string, rate, burst float64, keys ...string) resource {
	return resource{Kind: "tenants", Metadata: map[string]any{"name": name}, Spec: map[string]any{"apiKeys": keys, "ratePerS": rate, "burst": burst, "priority": 1}}
}

// applyTenants configures tenants and waits until they are in force.
func (f *fleet) applyTenants(tenants ...resource) {
	f.tenants = tenants
	f.configure("/one/")
	time.Sleep(2 * time.Second)
}

// receivedHeaders returns the headers of all requests that workers received.
func (f *fleet) receivedHeaders() []http.Header {
	var headers []http.Header
	for _, worker := range f.workers {
		worker.update(func() { headers = append(headers, worker.headers...) })
	}
	return headers
}

// TestTenantAuthentication checks that only requests with a tenant's key are served, that back ends get the
// authenticated tenant whatever headers the caller sends, and that no key is logged.
func TestTenantAuthentication(t *testing.T) {
	run(t, 3, func(f *fleet) {
		f.applyTenants(tenantResource("north", 0, 0, northKey, northNewKey), tenantResource("south", 0, 0, southKey))
		for number := range daemons {
			for _, path := range []string{"/one/safe/", "/one/unsafe/"} {
				for key, name := range map[string]string{northKey: "north", northNewKey: "north", southKey: "south"} {
					got := f.sendWith(number, path, func(r *http.Request) {
						r.Header.Set("Authorization", "Bearer "+key)
						r.Header.Set("Tenant", "somebody")
						r.Header["tenant"] = []string{"somebody"}
						r.Header.Set("Tuliphall-Caller", "somebody")
					})
					require.Equal(t, http.StatusOK, got.status)
					headers := f.receivedHeaders()
					require.Equal(t, []string{name}, headers[len(headers)-1].Values("Tenant"), "all headers: %v", headers[len(headers)-1])
				}
			}
			runsBefore := len(f.receivedHeaders())
			for _, key := range []string{"", "unknown-secret"} {
				got := f.sendWith(number, "/one/safe/", func(r *http.Request) {
					r.Header.Set("Tenant", "north")
					if key != "" {
						r.Header.Set("Authorization", "Bearer "+key)
					}
				})
				require.Equal(t, http.StatusUnauthorized, got.status)
				require.Equal(t, "Bearer", got.header.Get("WWW-Authenticate"))
				require.Contains(t, got.body, `"run":"not-run"`)
			}
			require.Len(t, f.receivedHeaders(), runsBefore, "requests without a valid key are not forwarded")
		}
		for _, header := range f.receivedHeaders() {
			require.Empty(t, header.Values("Authorization"))
			require.Empty(t, header.Values("Tuliphall-Caller"))
		}
		for _, secret := range []string{northKey, northNewKey, southKey, "unknown-secret"} {
			require.NotContains(t, f.logs.String(), secret)
		}
	})
}

// TestPublicRoute checks that public routes need no key, and that the Tenant header of callers is not forwarded.
func TestPublicRoute(t *testing.T) {
	run(t, 2, func(f *fleet) {
		f.public = true
		f.applyTenants(tenantResource("north", 0, 0, northKey))
		require.Equal(t, http.StatusOK, f.sendWith(0, "/one/safe/", func(r *http.Request) { r.Header.Set("Tenant", "north") }).status)
		require.Equal(t, http.StatusOK, f.sendWithKey(1, "/one/safe/", "unknown-secret").status)
		for _, header := range f.receivedHeaders() {
			require.Empty(t, header.Values("Tenant"))
			require.Empty(t, header.Values("Authorization"))
		}
		require.Equal(t, http.StatusOK, f.sendWithKey(1, "/one/safe/", northKey).status)
		headers := f.receivedHeaders()
		require.Equal(t, "north", headers[len(headers)-1].Get("Tenant"))
	})
}

// TestRevokedKeyIsRefused revokes a key while callers use it on persistent connections, after a new key was added:
// the old key is refused everywhere within a second, the new one always works.
func TestRevokedKeyIsRefused(t *testing.T) {
	run(t, 3, func(f *fleet) {
		f.applyTenants(tenantResource("north", 0, 0, northKey, northNewKey))
		require.Equal(t, http.StatusOK, f.sendWithKey(0, "/one/safe/", northKey).status)
		f.tenants = []resource{tenantResource("north", 0, 0, northNewKey)}
		f.configure("/one/")
		revokedAt := time.Now()
		for time.Since(revokedAt) < 3*time.Second {
			for number := range daemons {
				old := f.sendWithKey(number, "/one/unsafe/", northKey).status
				require.True(t, old == http.StatusUnauthorized || time.Since(revokedAt) < time.Second, "%s after it was revoked", time.Since(revokedAt))
				require.Equal(t, http.StatusOK, f.sendWithKey(number, "/one/safe/", northNewKey).status)
			}
		}
	})
}

// sendAtRateWithKey sends requests with a key through all daemons at a constant rate, and returns
// the numbers of answered and refused requests.
func (f *fleet) sendAtRateWithKey(key string, perSecond int, duration time.Duration) (answered, refused int) {
	var running sync.WaitGroup
	var mutex sync.Mutex
	for number := range int(duration.Seconds() * float64(perSecond)) {
		time.Sleep(time.Second / time.Duration(perSecond))
		running.Go(func() {
			got := f.sendWithKey(number%daemons, "/one/safe/", key)
			mutex.Lock()
			defer mutex.Unlock()
			if got.status == http.StatusOK {
				answered++
				return
			}
			refused++
			require.Equal(f.t, http.StatusTooManyRequests, got.status)
			seconds, err := strconv.ParseFloat(got.header.Get("Retry-After"), 64)
			require.NoError(f.t, err)
			require.Positive(f.t, seconds)
		})
	}
	running.Wait()
	return answered, refused
}

// TestTenantRateAppliesAcrossDaemons sends five times a tenant's rate through all daemons while another tenant stays
// within its rate: the first gets its rate in total, and the other is never refused.
func TestTenantRateAppliesAcrossDaemons(t *testing.T) {
	const rate, burst, duration = 20, 20, 20 * time.Second
	run(t, 10, func(f *fleet) {
		f.applyTenants(tenantResource("north", rate, burst, northKey), tenantResource("south", rate, burst, southKey))
		time.Sleep(5 * time.Second)
		var running sync.WaitGroup
		var southRefused int
		running.Go(func() { _, southRefused = f.sendAtRateWithKey(southKey, rate/2, duration) })
		answered, refused := f.sendAtRateWithKey(northKey, 5*rate, duration)
		running.Wait()
		allowed := rate*duration.Seconds() + burst
		t.Logf("answered %d of %.0f allowed, refused %d; the other tenant was refused %d", answered, allowed, refused, southRefused)
		require.GreaterOrEqual(t, float64(answered), 0.97*rate*duration.Seconds())
		require.LessOrEqual(t, float64(answered), 1.1*allowed+20)
		require.Zero(t, southRefused)
	})
}

// TestTenantRateWhenDispatcherIsKilled kills the dispatcher, which counts the requests, under overload: the other
// daemons together admit no more than the rate.
func TestTenantRateWhenDispatcherIsKilled(t *testing.T) {
	const rate, burst, duration = 20, 20, 20 * time.Second
	run(t, 10, func(f *fleet) {
		f.applyTenants(tenantResource("north", rate, burst, northKey))
		time.Sleep(5 * time.Second)
		var running sync.WaitGroup
		running.Go(func() {
			time.Sleep(duration / 2)
			for number, d := range f.daemons {
				if _, remote := d.DispatcherOf("board"); !remote && number != 0 {
					d.Kill()
				}
			}
		})
		answered := 0
		var mutex sync.Mutex
		for range int(duration.Seconds() * 5 * rate) {
			time.Sleep(time.Second / (5 * rate))
			running.Go(func() {
				if got := f.sendWithKey(0, "/one/safe/", northKey); got.status == http.StatusOK {
					mutex.Lock()
					answered++
					mutex.Unlock()
				}
			})
		}
		running.Wait()
		allowed := rate*duration.Seconds() + burst
		t.Logf("answered %d of %.0f allowed", answered, allowed)
		require.LessOrEqual(t, float64(answered), 1.1*allowed+20)
		require.GreaterOrEqual(t, float64(answered), 0.7*rate*duration.Seconds())
	})
}

// TestUnknownResourceIsLogged checks that each daemon that reads the store logs a resource of an unknown kind at most
// once as not in force, and that the other resources are in force.
func TestUnknownResourceIsLogged(t *testing.T) {
	run(t, 1, func(f *fleet) {
		f.applyTenants(resource{Kind: "mirrors", Metadata: map[string]any{"name": "shadow"}, Spec: map[string]any{}})
		f.configure("/one/")
		time.Sleep(time.Second)
		require.Equal(t, http.StatusOK, f.send(0, "/one/safe/").status)
		logged := strings.Count(f.logs.String(), "resource not in force")
		require.Positive(t, logged)
		require.LessOrEqual(t, logged, daemons, "once per daemon that reads the store")
		require.Contains(t, f.logs.String(), "shadow")
	})
}
