package main

import (
	"fmt"
	"io"
	"net/http"
	"os"
	"strings"
	"time"

	"github.com/integrii/flaggy"
	"github.com/pkg/errors"
)

// tool is a client of the administration API.
type tool struct {
	sub *flaggy.Subcommand
	run func() int
}

// listener is one verb of a tool: what it calls.
type listener struct {
	name, about, verb, path string
	body                    bool
	arg                     string
}

var listeners = map[string][]listener{
	"plan": {
		{"get", "print the plan in force", "GET", "/v1/plan", false, ""},
		{"list", "list the kept versions", "GET", "/v1/plans", false, ""},
		{"put", "put a plan from a file: {read, request, plan}", "PUT", "/v1/plan", true, ""},
		{"patch", "change named items from a file: {read, request, upsert, remove}", "PATCH", "/v1/plan", true, ""},
	},
	"step": {
		{"open", "open a step from a file", "POST", "/v1/steps", true, ""},
		{"list", "list steps", "GET", "/v1/steps", false, ""},
		{"get", "print one step", "GET", "/v1/steps/%s", false, "id"},
		{"results", "print a step's results", "GET", "/v1/steps/%s/results", false, "id"},
		{"end", "end a step", "POST", "/v1/steps/%s/end", false, "id"},
	},
	"engines": {
		{"list", "list engines", "GET", "/v1/engines", false, ""},
		{"drain", "take an engine out of placement", "PUT", "/v1/engines/%s/drain", false, "id"},
		{"undrain", "put it back", "PUT", "/v1/engines/%s/drain", false, "id"},
	},
	"store": {
		{"list", "list store machines", "GET", "/v1/stores", false, ""},
		{"add", "take in the blank store at an address", "POST", "/v1/stores", false, "addr"},
		{"promote", "make a learner a voter", "POST", "/v1/stores/%s/promote", false, "id"},
		{"remove", "take a store machine out", "DELETE", "/v1/stores/%s", false, "id"},
	},
	"weights": {
		{"list", "print targets and orders", "GET", "/v1/weights", false, ""},
		{"put", "name a pool's next weights from a file", "PUT", "/v1/weights/%s", true, "pool"},
	},
	"usage": {
		{"get", "print bytes held by trainer and by engine", "GET", "/v1/usage", false, ""},
	},
	"status": {
		{"get", "print a node's status", "GET", "/status", false, ""},
	},
}

// bodies are what tools send without a file.
var bodies = map[string]func(string) string{
	"engines drain":   func(string) string { return drainBody(true) },
	"engines undrain": func(string) string { return drainBody(false) },
	"store add":       func(a string) string { return fmt.Sprintf(`{"addr":%q}`, a) },
}

// drainBody is an order to drain an engine or to take it back, under a request id
// of its own.
func drainBody(drained bool) string {
	return fmt.Sprintf(`{"drained":%t,"request":"cli-%d-%d"}`, drained, os.Getpid(), time.Now().UnixNano())
}

var order = []string{"plan", "step", "engines", "store", "weights", "usage", "status"}

func bindTools() []tool {
	var tools []tool
	for _, name := range order {
		sub := flaggy.NewSubcommand(name)
		sub.Description = "operate on " + name
		for _, listener := range listeners[name] {
			verb := flaggy.NewSubcommand(listener.name)
			verb.Description = listener.about
			at, file, arg := "127.0.0.1:8080", "", ""
			verb.String(&at, "a", "at", "IP:port of any node's web address")
			if listener.body {
				verb.String(&file, "f", "file", "JSON file, - for standard input")
			}
			if listener.arg != "" {
				verb.AddPositionalValue(&arg, listener.arg, 1, true, listener.arg)
			}
			sub.AttachSubcommand(verb, 1)
			d := listener
			tools = append(tools, tool{verb, func() int { return ask(name, d, at, file, arg) }})
		}
		flaggy.AttachSubcommand(sub, 1)
	}
	return tools
}

func ask(name string, target listener, at, file, arg string) int {
	var body io.Reader
	if target.body {
		b, err := read(file)
		if err != nil {
			fmt.Fprintln(os.Stderr, "fernlink:", err)
			return 2
		}
		body = strings.NewReader(b)
	}
	if f, ok := bodies[name+" "+target.name]; ok {
		body = strings.NewReader(f(arg))
	}
	path := target.path
	if strings.Contains(path, "%s") {
		path = fmt.Sprintf(path, arg)
	}
	req, err := http.NewRequest(target.verb, "http://"+at+path, body)
	if err != nil {
		fmt.Fprintln(os.Stderr, "fernlink:", err)
		return 2
	}
	req.Header.Set("Content-Type", "application/json")
	c := http.Client{Timeout: 10 * time.Second}
	res, err := c.Do(req)
	if err != nil {
		fmt.Fprintln(os.Stderr, "fernlink: could not reach", at+":", err)
		return 2
	}
	defer res.Body.Close()
	_, _ = io.Copy(os.Stdout, res.Body)
	if res.StatusCode >= 400 {
		fmt.Fprintln(os.Stderr, "fernlink: answered", res.Status)
		return 1
	}
	return 0
}

func read(file string) (string, error) {
	if file == "" {
		return "", errors.New("name a file with --file, or - for standard input")
	}
	if file == "-" {
		b, err := io.ReadAll(os.Stdin)
		return string(b), err
	}
	b, err := os.ReadFile(file)
	return string(b), err
}
