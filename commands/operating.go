package commands

// OperatorCommands are the commands for operators. They are embedded in the command tree's
// root.
type OperatorCommands struct {
	Config     ConfigCommand     `cmd:"" help:"Check, write and show the configuration."`
	Status     StatusCommand     `cmd:"" help:"Show what is wrong, and the state of nodes, leases, permits and queues."`
	Why        WhyCommand        `cmd:"" help:"Tell what was decided for one request."`
	Report     ReportCommand     `cmd:"" help:"Print reports."`
	Model      ModelCommand      `cmd:"" help:"Show and change models."`
	Adapter    AdapterCommand    `cmd:"" help:"Show and change adapters."`
	Team       TeamCommand       `cmd:"" help:"Show and change teams."`
	Key        KeyCommand        `cmd:"" help:"Show and change access keys."`
	Drain      DrainCommand      `cmd:"" help:"Take backend servers, nodes and availability zones out of use."`
	Quarantine QuarantineCommand `cmd:"" help:"Show and change which request contents are refused."`
	Settings   SettingsCommand   `cmd:"" help:"Show the settings that serve would start with."`
	Completion CompletionCommand `cmd:"" help:"Print what a shell needs to complete command lines."`
	Version    VersionCommand    `cmd:"" help:"Print the version."`
}
