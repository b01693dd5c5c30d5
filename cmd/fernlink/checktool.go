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
	options := checkOptions{at: "127.0.0.1:8080", form: "text"}
	sub.String(&options.at, "a", "at", "web addresses of dispatchers to ask, with commas")
	sub.String(&options.plan, "", "plan", "plan file, or what a put would send; - for standard input")
	sub.String(&options.config, "", "config", "config file of a node")
	sub.String(&options.form, "o", "output", "text or json")
	flaggy.AttachSubcommand(sub, 1)
	return tool{sub, func() int { return options.run() }}
}

// checkOptions are the command line of `fernlink check`.
type checkOptions struct{ at, plan, config, form string }

func (o *checkOptions) run() int {
	if (o.plan == "") == (o.config == "") {
		fmt.Fprintln(os.Stderr, "fernlink: name one of --plan and --config")
		return 2
	}
	if o.form != "text" && o.form != "json" {
		fmt.Fprintln(os.Stderr, "fernlink: --output is text or json")
		return 2
	}
	report, err := o.report()
	if err != nil {
		fmt.Fprintln(os.Stderr, "fernlink:", err)
		return 2
	}
	if o.form == "json" {
		text, _ := json.MarshalIndent(report, "", "  ")
		fmt.Println(string(text))
	} else {
		report.Write(os.Stdout)
	}
	if len(report.Findings) > 0 {
		return 1
	}
	return 0
}

// report reads the document and checks it against the fleet.
func (o *checkOptions) report() (check.Report, error) {
	run := check.Plan
	if o.config != "" {
		run = check.Config
	}
	raw, err := read(o.plan + o.config)
	if err != nil {
		return check.Report{}, err
	}
	fleet, from, err := check.Ask(strings.Split(o.at, ","))
	if err != nil {
		return check.Report{}, err
	}
	report := run([]byte(raw), fleet)
	report.Against = from
	return report, nil
}
