package ledger

import (
	"fmt"
	"strings"
	"testing"

	"github.com/go-json-experiment/json/v1"
)

// planOf is a plan of so many routes, each with what an operator's document says of it.
func planOf(routes int) json.RawMessage {
	list := make([]string, routes)
	for i := range list {
		list[i] = fmt.Sprintf(`{"name":"r%d","host":"a%d.example","path":"/p%d/","kind":"again","pool":"app","timeout_ms":1500,"target_ms":150,"rank":2,"tries":2}`, i, i%50, i)
	}
	return json.RawMessage(`{"pools":[{"name":"app","kind":"app"}],"routes":[` + strings.Join(list, ",") + `],"source":{"RouteTable":[` + strings.Join(list, ",") + `]}}`)
}

// BenchmarkChangeOfAPlan applies a change of one route, and tells it to a node that knows the
// plan before it. It reports the bytes of the command and of what the node hears.
func BenchmarkChangeOfAPlan(b *testing.B) {
	for _, routes := range []int{40, 4000} {
		b.Run(fmt.Sprint(routes, " routes"), func(b *testing.B) {
			l := New()
			do(l, KindPlanPut, PutPlan{Version: 1, Request: "p", Doc: planOf(routes)})
			var command, told int
			b.ResetTimer()
			for n := range b.N {
				have := l.Index
				order := NewCommand(1000, change(uint64(n+1), uint64(n+2), fmt.Sprint("r", n%routes))).Encode()
				if r := l.Apply(have+1, order); r.Code != Accepted {
					b.Fatal(string(r.Body))
				}
				l.Box()
				command, told = len(order), len(raw(l.Since(have)))
			}
			b.ReportMetric(float64(command), "command-B")
			b.ReportMetric(float64(told), "told-B")
			b.ReportMetric(float64(len(planOf(routes))), "plan-B")
		})
	}
}
