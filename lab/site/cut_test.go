package site_test

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/tuliphall/tuliphall/lab/fakenet"
	"github.com/tuliphall/tuliphall/lab/load"
	"github.com/tuliphall/tuliphall/lab/site"
)

// cutGrace is how long after the start of a cut requests may fail.
const cutGrace = 3 * time.Second

// TestDaemonsCutOffServeOperationsAndStreams cuts the daemons of a zone off from all back ends: repeatable requests,
// operations that must run once, forwarded requests and streams must be served at all daemons.
func TestDaemonsCutOffServeOperationsAndStreams(t *testing.T) {
	for name, linkFault := range map[string]fakenet.LinkFault{
		"silent": fakenet.LinkSilent, "reset and refused": fakenet.LinkReset, "reset and silent": fakenet.LinkResetSilent, "new ones refused": fakenet.LinkRefused,
	} {
		for _, forwarded := range []bool{false, true} {
			t.Run(fmt.Sprintf("%s/forwarded=%t", name, forwarded), func(t *testing.T) {
				options := site.Options{Zones: []string{"zone-a", "zone-b"}, Daemons: 6, Services: testServices(4)}
				options.Services[0].Config.Forward = forwarded
				runVirtual(t, options, func(ctx context.Context, net *fakenet.Net, running *site.Site) {
					options := loadOptions(net, running, 2*time.Second)
					checkGuarantees(t, running, load.Run(ctx, options))
					net.SetLinkRule(func(a, b string) fakenet.LinkFault {
						// Daemons are assigned to the two zones in turn.
						if (a == "entry-1" || a == "entry-3" || a == "entry-5") && (strings.HasPrefix(b, "reads-") || strings.HasPrefix(b, "corrections-")) {
							return linkFault
						}
						return fakenet.LinkUp
					})
					during := options
					during.Seed, during.Duration = 6, cutGrace
					checkGuarantees(t, running, load.Run(ctx, during))
					for number := range 6 {
						requireStream(t, net, running.Daemon(site.DaemonName(number)).Addresses().Caller)
					}
					options.Seed, options.Duration = 7, 6*time.Second
					result := load.Run(ctx, options)
					checkGuarantees(t, running, result)
					require.GreaterOrEqual(t, result.Answered, result.Sent-result.Sent/50, result.FirstFailure())
					net.SetLinkRule(nil)
					time.Sleep(time.Second)
					options.Seed = 8
					result = load.Run(ctx, options)
					checkGuarantees(t, running, result)
					require.Equal(t, result.Sent, result.Answered, result.FirstFailure())
					checkOnce(t, running)
				})
			})
		}
	}
}

// requireStream requires that a daemon passes a stream on whole.
func requireStream(t *testing.T, network *fakenet.Net, address string) {
	t.Helper()
	client := http.Client{Transport: &http.Transport{DisableKeepAlives: true, DialContext: func(ctx context.Context, _, address string) (net.Conn, error) {
		return network.Host("callers").Dial(ctx, address)
	}}}
	response, err := client.Get("http://" + address + "/reads/stream?pieces=5&every=50ms")
	require.NoError(t, err)
	defer response.Body.Close()
	body, err := io.ReadAll(response.Body)
	require.NoError(t, err)
	require.Equal(t, http.StatusOK, response.StatusCode, string(body))
	require.True(t, strings.HasSuffix(string(body), "end\n"), string(body))
}
