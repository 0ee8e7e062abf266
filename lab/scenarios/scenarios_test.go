// Package scenarios runs the scripted scenarios: the product's commands and the
// stand-ins as separate processes, driven by testscript.
package scenarios

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/url"
	"os"
	"path/filepath"
	"regexp"
	"strconv"
	"strings"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/rogpeppe/go-internal/testscript"

	"github.com/tuliphall/tuliphall/command"
	"github.com/tuliphall/tuliphall/lab/labcommand"
	"github.com/tuliphall/tuliphall/launch"
)

func TestMain(m *testing.M) {
	testscript.Main(m, map[string]func(){
		"tuliphalld": func() { os.Exit(launch.Run(os.Args[1:])) },
		"tuliphall": func() {
			code, err := command.Run(os.Args[1:], os.Stdout)
			if err != nil {
				fmt.Fprintln(os.Stderr, "tuliphall:", err)
			}
			os.Exit(code)
		},
		"lab": func() {
			if err := labcommand.Run(os.Args[1:], os.Stdout); err != nil {
				fmt.Fprintln(os.Stderr, "lab:", err)
				os.Exit(1)
			}
		},
	})
}

func TestScenarios(t *testing.T) {
	testscript.Run(t, testscript.Params{
		Dir: "testdata",
		Cmds: map[string]func(ts *testscript.TestScript, neg bool, args []string){
			"ports":     ports,
			"ready":     ready,
			"fetch":     fetch,
			"pipelined": pipelined,
			"subst":     substitute,
			"hangup":    hangup,
			"raw":       raw,
			"capture":   capture,
			"atmost":    atMost,
		},
	})
}

// lastHost numbers the loopback addresses given to scripts.
var lastHost atomic.Uint32

// loopback returns a loopback address that nothing else on the machine uses: a
// port that was asked of the kernel and released is free until a process of the
// script takes it. On 127.0.0.1 another test's outgoing connection may take it.
func loopback() string {
	process := os.Getpid()
	return fmt.Sprintf("127.%d.%d.%d", 1+(process>>8)%254, process%256, 1+lastHost.Add(1)%254)
}

// ports NAME... asks the kernel for free ports and sets $NAME to IP:port. No process is
// started meanwhile: one that another script starts would hold the listeners, and so the
// ports, for a moment after they are closed here.
func ports(ts *testscript.TestScript, _ bool, names []string) {
	syscall.ForkLock.RLock()
	defer syscall.ForkLock.RUnlock()
	var held []net.Listener
	host := loopback()
	for _, name := range names {
		listener, err := net.Listen("tcp", net.JoinHostPort(host, "0"))
		ts.Check(err)
		held = append(held, listener)
		ts.Setenv(name, listener.Addr().String())
	}
	for _, listener := range held {
		ts.Check(listener.Close())
	}
}

// readyTimeout is how long a process may take until it serves.
const readyTimeout = 20 * time.Second

// ready URL waits until the URL answers 200.
func ready(ts *testscript.TestScript, _ bool, args []string) {
	deadline := time.Now().Add(readyTimeout)
	for {
		response, err := http.Get(args[0])
		if err == nil {
			response.Body.Close()
			if response.StatusCode == http.StatusOK {
				return
			}
		}
		if time.Now().After(deadline) {
			ts.Fatalf("%s not ready: %v", args[0], err)
		}
		time.Sleep(20 * time.Millisecond)
	}
}

// fetch URL [KEY] prints the answer's status line, headers of the project, and body. The key
// is that of a tenant.
func fetch(ts *testscript.TestScript, neg bool, args []string) {
	request, err := http.NewRequest(http.MethodGet, args[0], nil)
	ts.Check(err)
	if len(args) > 1 {
		request.Header.Set("Authorization", "Bearer "+args[1])
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		if !neg {
			ts.Fatalf("%v", err)
		}
		return
	}
	defer response.Body.Close()
	body := new(strings.Builder)
	_, err = fmt.Fprintf(body, "status %d code %s run %s\n", response.StatusCode, response.Header.Get("Tuliphall-Code"), response.Header.Get("Tuliphall-Run"))
	ts.Check(err)
	buffer := make([]byte, 64<<10)
	for {
		n, err := response.Body.Read(buffer)
		body.Write(buffer[:n])
		if err != nil {
			break
		}
	}
	_, err = ts.Stdout().Write([]byte(body.String()))
	ts.Check(err)
	if neg == (response.StatusCode < http.StatusBadRequest) {
		ts.Fatalf("unexpected status %d: %s", response.StatusCode, body)
	}
}

// pipelined URL COUNT sends so many requests for URL/0, URL/1 and so on at once on one
// connection, and fails unless they are answered in this order.
func pipelined(ts *testscript.TestScript, neg bool, args []string) {
	if neg {
		ts.Fatalf("unsupported: ! pipelined")
	}
	target, err := url.Parse(args[0])
	ts.Check(err)
	count, err := strconv.Atoi(args[1])
	ts.Check(err)
	caller, err := net.Dial("tcp", target.Host)
	ts.Check(err)
	defer caller.Close()
	var sent strings.Builder
	for number := range count {
		fmt.Fprintf(&sent, "GET %s/%d HTTP/1.1\r\nHost: %s\r\n\r\n", target.Path, number, target.Host)
	}
	_, err = io.WriteString(caller, sent.String())
	ts.Check(err)
	answers := bufio.NewReader(caller)
	for number := range count {
		response, err := http.ReadResponse(answers, nil)
		ts.Check(err)
		body, err := io.ReadAll(response.Body)
		ts.Check(err)
		if want := fmt.Sprintf("GET %s/%d", target.Path, number); response.StatusCode != http.StatusOK || !strings.Contains(string(body), want) {
			ts.Fatalf("answer %d: status %d, %q; want %q", number, response.StatusCode, body, want)
		}
	}
}

// rawTimeout is how long raw waits for the other side to close the connection.
const rawTimeout = 5 * time.Second

// raw ADDRESS FILE sends the file's bytes, in which \r stands for a carriage return, and
// prints what comes back until the connection is closed.
func raw(ts *testscript.TestScript, neg bool, args []string) {
	if neg {
		ts.Fatalf("unsupported: ! raw")
	}
	caller, err := net.Dial("tcp", args[0])
	ts.Check(err)
	defer caller.Close()
	ts.Check(caller.SetDeadline(time.Now().Add(rawTimeout)))
	_, err = io.WriteString(caller, strings.ReplaceAll(ts.ReadFile(args[1]), `\r`, "\r"))
	ts.Check(err)
	// A connection that is closed over unread bytes is reset.
	if _, err := io.Copy(ts.Stdout(), caller); err != nil && !errors.Is(err, syscall.ECONNRESET) {
		ts.Fatalf("%v", err)
	}
}

// hangup COMMAND sends SIGHUP, which kill does not know, to the script's background
// processes of a command.
func hangup(ts *testscript.TestScript, _ bool, args []string) {
	for _, process := range ts.BackgroundCmds() {
		if filepath.Base(process.Args[0]) == args[0] {
			ts.Check(process.Process.Signal(syscall.SIGHUP))
		}
	}
}

// capture NAME PATTERN sets $NAME to what the pattern's group matches in the last output.
func capture(ts *testscript.TestScript, _ bool, args []string) {
	matched := regexp.MustCompile(args[1]).FindStringSubmatch(ts.ReadFile("stdout"))
	if len(matched) < 2 {
		ts.Fatalf("no match for %s", args[1])
	}
	ts.Setenv(args[0], matched[1])
}

// subst FILE... replaces $NAME in files by the environment's values.
func substitute(ts *testscript.TestScript, _ bool, files []string) {
	for _, file := range files {
		text := os.Expand(ts.ReadFile(file), ts.Getenv)
		ts.Check(os.WriteFile(ts.MkAbs(file), []byte(text), 0o600))
	}
}

// atMost COUNT REGEXP FILE fails if more lines of a file match.
func atMost(ts *testscript.TestScript, neg bool, args []string) {
	if neg || len(args) != 3 {
		ts.Fatalf("usage: atmost COUNT REGEXP FILE")
	}
	most, err := strconv.Atoi(args[0])
	ts.Check(err)
	if found := len(regexp.MustCompile(args[1]).FindAllString(ts.ReadFile(args[2]), -1)); found > most {
		ts.Fatalf("%d lines match %s, %d may", found, args[1], most)
	}
}
