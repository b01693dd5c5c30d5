// Command fernlink is the node and the operators' tools (design 1).
package main

import (
	"cmp"
	"fmt"
	"io"
	"os"
	"strings"

	"github.com/integrii/flaggy"

	"fernlink/config"
	"fernlink/core/ledger"
	"fernlink/shell/daemon"
)

// Version is what --version prints.
const Version = "0.1.0"

func main() {
	flaggy.SetName("fernlink")
	flaggy.SetDescription("a rollout scheduler for trainers")
	flaggy.SetVersion(Version)
	flaggy.DefaultParser.ShowHelpOnUnexpected = true
	var flags nodeFlags
	sub := flaggy.NewSubcommand("node")
	sub.Description = "run one node until SIGTERM"
	flags.bind(sub)
	flaggy.AttachSubcommand(sub, 1)
	var settings serveFlags
	command := flaggy.NewSubcommand("serve")
	command.Description = "run one node on the platform until SIGTERM"
	settings.bind(command)
	flaggy.AttachSubcommand(command, 1)
	tools := append(bindTools(), bindCheck(), bindFolder(), bindTimeline())
	flaggy.Parse()
	if sub.Used {
		os.Exit(flags.run())
	}
	if command.Used {
		os.Exit(settings.run())
	}
	for _, t := range tools {
		if t.sub.Used {
			os.Exit(t.run())
		}
	}
	flaggy.ShowHelp("")
	os.Exit(exitUsage)
}

type nodeFlags struct {
	file, addr, web, zone, data, platform string
	listen                                string
	seeds, roles, form, off, level        string
	profile                               string
}

func (n *nodeFlags) bind(command *flaggy.Subcommand) {
	command.String(&n.file, "p", "config", "config file (JSON); flags go over it")
	command.String(&n.addr, "", "addr", "IP:port for peers")
	command.String(&n.listen, "", "listen", "IP:port to listen at for peers, when that is not addr")
	command.String(&n.web, "", "web", "IP:port for callers, trainers and operators")
	command.String(&n.zone, "", "zone", "this machine's zone")
	command.String(&n.seeds, "", "seeds", "up to three addresses of other nodes, with commas")
	command.String(&n.roles, "", "roles", "store, coordinator, dispatcher, with commas")
	command.String(&n.data, "", "data", "data folder")
	command.String(&n.platform, "", "platform", "URL of the platform list")
	command.String(&n.form, "", "form", "addresses of the stores that form a new cluster, with commas")
	command.String(&n.level, "", "log-level", "error, warn, info or debug (info)")
	bindProfile(command, &n.profile)
	command.String(&n.off, "", "policies-off", "coordinator policies to switch off, with commas")
}

func (n *nodeFlags) run() int {
	flags := map[string]any{}
	for k, v := range map[string]string{"addr": n.addr, "web": n.web, "zone": n.zone, "data": n.data, "platform": n.platform, "listen": n.listen, "log_level": n.level} {
		if v != "" {
			flags[k] = v
		}
	}
	for k, v := range map[string]string{"seeds": n.seeds, "roles": n.roles, "form": n.form, "policies_off": n.off} {
		if v != "" {
			flags[k] = strings.Split(v, ",")
		}
	}
	process := newProcess()
	defer process.Log.Close()
	settings, bad, err := config.Read(n.file, flags)
	if err != nil {
		fmt.Fprintln(process.Log, "fernlink:", err)
		return exitUsage
	}
	if len(bad) > 0 {
		tell(process.Log, bad)
		return exitUsage
	}
	if n.file != "" {
		process.Reread = rereadFile(n.file, func() (config.Config, []ledger.Fault, error) { return config.Read(n.file, flags) })
	}
	return start(settings, daemon.Platform{}, process, n.profile)
}

func tell(failures io.Writer, bad []ledger.Fault) {
	for _, f := range bad {
		fmt.Fprintf(failures, "fernlink: config %s: %s\n", cmp.Or(f.At, "/"), f.Text)
	}
}
