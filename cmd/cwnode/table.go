package main

import "github.com/urfave/cli/v3"

// commands returns all commands. Each has its own file.
func commands() []*cli.Command {
	return []*cli.Command{
		balancerCommand(),
		agentCommand(),
		checkCommand(),
		explainCommand(),
	}
}
