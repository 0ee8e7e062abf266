package soak

import (
	"bytes"
	"context"
	"net/http"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"time"
)

// Tenants of every configuration. Ordinary requests are divided between the small tenants by their id, those of a flood
// belong to a tenant of their own.
const (
	smallTenants = 4
	keyPrefix    = "soak-secret-" // of all keys, and of nothing else that a daemon reads
	floodTenant  = "flood"
	floodPath    = "/flood/"
)

// A flood asks for floodOverload times the slots of all back ends. Its requests hold a slot for floodWorkTime, ten times
// as long as others, so that few requests a second suffice.
const (
	floodWorkTime    = 10 * workTime
	floodOverload    = 3
	maxFloodInFlight = 300
	// floodInterval is the time between two batches of a flood.
	floodInterval = 20 * time.Millisecond
	// finalFloodDuration is the length of the flood after the last fault, which is always free of faults.
	finalFloodDuration = 4 * time.Second
)

// minSmallFraction is the minimum part of what the small tenants are served without a flood that they must be served during one;
// it is judged from minSmallRequests on.
const (
	minSmallFraction = 0.95
	minSmallRequests = 50
)

// maxTimerDelay is how late a timer may be. Daemons on a machine with longer delays suspect each other (a load of 60 on 8
// processors), so that requests fail for another reason than a flood.
const maxTimerDelay = 200 * time.Millisecond

// tally counts the requests of the small tenants while no fault is in force.
type tally struct{ sent, served int }

func (t tally) fraction() float64 { return float64(t.served) / float64(max(1, t.sent)) }

// tenantOf returns the tenant that sends the request with an id.
func tenantOf(id string) string {
	if strings.HasPrefix(id, floodTenant) {
		return floodTenant
	}
	sum := 0
	for _, digit := range []byte(id) {
		sum += int(digit)
	}
	return "small-" + strconv.Itoa(sum%smallTenants)
}

// authorization returns the Authorization header of the request with an id.
func authorization(id string) string {
	return "Bearer " + keyPrefix + tenantOf(id)
}

// tenantResources returns the tenants. A configuration with tenants divides capacity between them (share_by = "tenant").
func tenantResources() []resource {
	names := []string{floodTenant}
	for number := range smallTenants {
		names = append(names, "small-"+strconv.Itoa(number))
	}
	var resources []resource
	for _, name := range names {
		resources = append(resources, resource{Kind: "tenants", Metadata: map[string]any{"name": name}, Spec: map[string]any{"apiKeys": []string{keyPrefix + name}, "priority": 1}})
	}
	return resources
}

// flood sends requests of one tenant for a time: through all daemons, or through one if the fault's count is 1.
func (c *callers) flood(fault Fault) {
	defer c.fleet.report.beginFlood()()
	daemons := c.fleet.daemons
	if fault.Count == 1 {
		daemons = daemons[fault.Target%len(daemons):][:1]
	}
	var inFlight sync.WaitGroup
	defer inFlight.Wait()
	free := make(chan struct{}, maxFloodInFlight)
	started := time.Now()
	for sent := 0; time.Since(started) < fault.Duration; time.Sleep(floodInterval) {
		perSecond := floodOverload * float64(len(c.fleet.currentWorkers())*workerSlots) / floodWorkTime.Seconds()
		for ; float64(sent) < perSecond*time.Since(started).Seconds(); sent++ {
			select {
			case free <- struct{}{}:
			default:
				continue
			}
			target := daemons[sent%len(daemons)]
			inFlight.Go(func() {
				defer func() { <-free }()
				id := floodTenant + "-" + c.nextID()
				c.sendOnce(c.keepAliveClient, target, http.MethodGet, id, floodPath+id, false)
			})
		}
	}
}

// beginFlood records the start of a flood. The returned function records its end.
func (r *report) beginFlood() (ended func()) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.activeFloods++
	r.floodChangedAt = time.Now()
	return func() {
		r.mutex.Lock()
		defer r.mutex.Unlock()
		r.activeFloods--
		r.floodChangedAt = time.Now()
	}
}

// beginOperation records the start of a fault or planned operation other than a flood. The returned function records its end.
func (r *report) beginOperation() (ended func()) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.activeOperations++
	return func() {
		r.mutex.Lock()
		defer r.mutex.Unlock()
		r.activeOperations--
		r.lastOperationEnd = time.Now()
	}
}

// watchStalls counts the times at which this process gets no processor as operations: the daemons run on the same machine,
// and back ends and proxies in this process.
func (r *report) watchStalls(ctx context.Context) {
	for ctx.Err() == nil {
		before := time.Now()
		time.Sleep(floodInterval)
		r.recordDelay(time.Since(before) - floodInterval)
	}
}

// recordDelay records how late a timer of this process was.
func (r *report) recordDelay(late time.Duration) {
	if late < maxTimerDelay {
		return
	}
	r.beginOperation()()
	r.count("stalls of the machine")
	r.log("the machine stood still for %s", late)
}

// recordSmall records whether a request of a small tenant was served. Requests that a fault or the start or end of a flood may
// have influenced do not count.
func (r *report) recordSmall(sentAt time.Time, served bool) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	if r.activeOperations > 0 || sentAt.Sub(r.lastOperationEnd) < settleTime || sentAt.Before(r.floodChangedAt) {
		return
	}
	counted := &r.withoutFlood
	if r.activeFloods > 0 {
		counted = &r.duringFlood
	}
	counted.sent++
	if served {
		counted.served++
	}
}

// checkShares checks what the small tenants were served during floods against what they were served without one.
func (r *report) checkShares() {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	during, without := r.duringFlood, r.withoutFlood
	r.log("small tenants: %d of %d served during floods, %d of %d without", during.served, during.sent, without.served, without.sent)
	if min(during.sent, without.sent) < minSmallRequests {
		r.counts["shares not judged"]++
	}
	if min(during.sent, without.sent) >= minSmallRequests && during.fraction() < minSmallFraction*without.fraction() {
		r.addViolation("SHARE: small tenants were served %.3f of %d requests during floods, %.3f without", during.fraction(), during.sent, without.fraction())
	}
}

// checkOutputs checks the output of all daemons for keys of tenants.
func (f *fleet) checkOutputs() {
	for _, daemon := range f.daemons {
		output, err := os.ReadFile(filepath.Join(f.options.Directory, daemon.name+".log"))
		if err != nil {
			f.report.log("output of %s: %v", daemon.name, err)
		}
		f.report.recordOutput(daemon.name, output)
	}
}

// recordOutput checks the output of a daemon for keys of tenants. The violation does not show the key.
func (r *report) recordOutput(daemon string, output []byte) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	if count := bytes.Count(output, []byte(keyPrefix)); count > 0 {
		r.addViolation("KEY: the output of %s contains keys of tenants %d times", daemon, count)
	}
}
