package main

import "github.com/urfave/cli/v3"

// commands is the table of every command; each has a file of its own.
func commands() []*cli.Command {
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
