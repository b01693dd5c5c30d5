package main

import (
	"fmt"
	"os"
	"strings"

	"github.com/go-json-experiment/json/v1"
	"github.com/integrii/flaggy"

	"fernlink/cmd/fernlink/check"
)

// bindCheck adds `fernlink check`. It ends with 0 when all is clean, 1 with
// findings, 2 when it could not check.
func bindCheck() tool {
	sub := flaggy.NewSubcommand("check")
	sub.Description = "check a plan or a node's config against the fleet as it is"
	at, plan, file, form := "127.0.0.1:8080", "", "", "text"
	sub.String(&at, "a", "at", "web addresses of dispatchers to ask, with commas")
	sub.String(&plan, "", "plan", "plan file, or what a put would send; - for standard input")
	sub.String(&file, "", "config", "config file of a node")
	sub.String(&form, "o", "output", "text or json")
	flaggy.AttachSubcommand(sub, 1)
	return tool{sub, func() int {
		if (plan == "") == (file == "") {
			fmt.Fprintln(os.Stderr, "fernlink: name one of --plan and --config")
			return 2
		}
		if form != "text" && form != "json" {
			fmt.Fprintln(os.Stderr, "fernlink: --output is text or json")
			return 2
		}
		run := check.Plan
		if file != "" {
			run = check.Config
		}
		raw, err := read(plan + file)
		if err != nil {
			fmt.Fprintln(os.Stderr, "fernlink:", err)
			return 2
		}
		fleet, from, err := check.Ask(strings.Split(at, ","))
		if err != nil {
			fmt.Fprintln(os.Stderr, "fernlink:", err)
			return 2
		}
		rep := run([]byte(raw), fleet)
		rep.Against = from
		if form == "json" {
			b, _ := json.MarshalIndent(rep, "", "  ")
			fmt.Println(string(b))
		} else {
			rep.Write(os.Stdout)
		}
		if len(rep.Findings) > 0 {
			return 1
		}
		return 0
	}}
}
