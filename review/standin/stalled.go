package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"time"
)

const (
	stalledWorkers = 6
	stalledSlots   = 3
	stalledClients = 18
	stalledAnswer  = 256 << 10 // bytes of an answer
	stalledPiece   = 8 << 10   // a worker sends this much of it at a time
	stalledPause   = 15 * time.Millisecond
	// The route's timeout, what may follow it, and the client's deadline, in seconds.
	stalledTimeout  = 2.0
	stalledSlack    = 0.5
	stalledDeadline = 6.0
	// stalledCut is how long the daemons are partitioned from all workers.
	stalledCut = 9 * time.Second
)

// download is what a client saw of one request.
type download struct {
	id                 string
	sent               time.Time
	status             int
	received           int64
	took               time.Duration // until the final answer, or until the client left
	answered, complete bool
}

// playStalledAnswer: the daemons are partitioned from all workers while answers are on their way. Each request
// must have its final answer at its route's timeout, or half a second later.
func playStalledAnswer(root string) {
	f := newFleet(root, 2)
	current = f
	serve := func(w *worker, request *http.Request, conn net.Conn, _ *bufio.Reader) bool {
		io.WriteString(conn, w.answerHead(request, stalledAnswer))
		piece := make([]byte, stalledPiece)
		for sent := 0; sent < stalledAnswer; sent += len(piece) {
			if _, err := conn.Write(piece); err != nil {
				return false
			}
			time.Sleep(stalledPause)
		}
		return true
	}
	var links []*link
	for number := range stalledWorkers {
		w := &worker{store: f.store, service: "ledger", id: fmt.Sprintf("w-%d", number+1), address: f.freeAddress(f.network + ".200"), path: "/health", slots: stalledSlots, serve: serve}
		w.dialed = f.freeAddress(f.network + ".201")
		links = append(links, newLink(w.dialed, w.address))
		w.start()
	}
	f.store.put("config", "main", configuration(route("exports", "/exports/", "download", stalledTimeout, 1, "ledger")))
	f.start(true)
	f.awaitReady(15 * time.Second)
	time.Sleep(5 * time.Second)
	var mutex sync.Mutex
	var downloads []*download
	var clients sync.WaitGroup
	stop := make(chan struct{})
	for number := range stalledClients {
		clients.Go(func() {
			time.Sleep(time.Duration(number) * 17 * time.Millisecond)
			for turn := 1; ; turn++ {
				select {
				case <-stop:
					return
				default:
				}
				d := fetch(f.daemons[number%len(f.daemons)].front, fmt.Sprintf("export-%02d-%d", number+1, turn))
				mutex.Lock()
				downloads = append(downloads, d)
				mutex.Unlock()
			}
		})
	}
	time.Sleep(4 * time.Second)
	close(stop) // no client sends another request after the cut
	if trouble {
		record.printf("the daemons are partitioned from all workers for %s", stalledCut)
		for _, l := range links {
			l.cut()
		}
		time.AfterFunc(stalledCut, func() {
			for _, l := range links {
				l.heal()
			}
		})
	}
	clients.Wait()
	past, late := 0, 0
	for _, d := range downloads {
		if d.took.Seconds() < stalledTimeout {
			continue
		}
		past++
		if !d.answered || d.took.Seconds() > stalledTimeout+stalledSlack {
			late++
		}
	}
	conclude(late >= 8 && 4*late > past, "of %d requests, %d ran past the timeout of %g s, and %d of these had no final answer %g s later",
		len(downloads), past, stalledTimeout, late, stalledSlack)
}

// fetch sends a request and reads its answer until it is complete or the client's deadline has passed.
func fetch(front, id string) *download {
	d := &download{id: id, sent: time.Now()}
	record.printf("client: sends GET /exports/%s to %s", id, front)
	defer func() {
		d.took = time.Since(d.sent)
		record.printf("client: request %s: status %d, %d bytes of answer, final %v, complete %v, after %.3f s", id, d.status, d.received, d.answered, d.complete, d.took.Seconds())
	}()
	conn, err := net.DialTimeout("tcp", front, time.Second)
	if err != nil {
		return d
	}
	defer conn.Close()
	conn.SetDeadline(d.sent.Add(time.Duration(stalledDeadline * float64(time.Second))))
	fmt.Fprintf(conn, "GET /exports/%s HTTP/1.1\r\nHost: prices.example\r\nRequest-Id: %s\r\nDeadline-Ms: %d\r\n\r\n", id, id, int(stalledDeadline*1000))
	response, err := http.ReadResponse(bufio.NewReader(conn), &http.Request{Method: http.MethodGet})
	if err != nil {
		d.answered = !isTimeout(err) // a closed connection is final, too
		return d
	}
	d.status = response.StatusCode
	d.received, err = io.Copy(io.Discard, response.Body)
	d.answered, d.complete = !isTimeout(err), err == nil
	return d
}

// isTimeout reports whether the client's deadline has passed.
func isTimeout(err error) bool {
	timeout, ok := err.(net.Error)
	return ok && timeout.Timeout()
}
