package main

import "github.com/urfave/cli/v3"

// allCommands lists every command; each is defined in its own file.
func allCommands() []*cli.Command {
	return []*cli.Command{
		balancerCommand(),
		agentCommand(),
		showCommand(),
		demoCommand(),
		checkCommand(),
		applyCommand(),
		decideCommand(),
		historyCommand(),
		keygenCommand(),
		explainCommand(),
	}
}
