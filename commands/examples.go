package commands

// This file holds the examples in the help of each command. The tests parse each line that
// starts with the program's name.

// Help implements kong.HelpProvider.
func (c *ConfigCommand) Help() string {
	return `Examples:

  parsleylug config check feast.json
  parsleylug config diff feast.json
  parsleylug config apply --dry-run feast.json
  parsleylug config apply --wait feast.json
  parsleylug config show --schema-version 1
`
}

// Help implements kong.HelpProvider.
func (c *ModelCommand) Help() string {
	return `Examples:

  parsleylug model list --output json
  parsleylug model set hymn-order-8b --copies 2 --dry-run
  parsleylug model set hymn-order-8b --memory 16GiB --regions brisbane,townsville --wait
  parsleylug model pause hymn-order-8b --expect 12
  parsleylug model remove hymn-order-8b
`
}

// Help implements kong.HelpProvider.
func (c *AdapterCommand) Help() string {
	return `Examples:

  parsleylug adapter list
  parsleylug adapter set hymn-order-8b:moldova --memory 128MiB
  parsleylug adapter remove hymn-order-8b:moldova
`
}

// Help implements kong.HelpProvider.
func (c *TeamCommand) Help() string {
	return `Examples:

  parsleylug team set coral --requests-per-second 50 --models coral-summary-7b,coral-address-3b
  parsleylug team list
  parsleylug team remove coral
`
}

// Help implements kong.HelpProvider.
func (c *KeyCommand) Help() string {
	return `The key is made here; only its hash is sent. Examples:

  parsleylug key create coral desk --role Caller --for 2160h
  parsleylug key list
  parsleylug key remove coral desk
`
}

// Help implements kong.HelpProvider.
func (c *DrainCommand) Help() string {
	return `Examples:

  parsleylug drain server engine-2 --dry-run
  parsleylug drain zone brisbane-a --wait
  parsleylug drain zone brisbane-a --off
  parsleylug drain list
`
}

// Help implements kong.HelpProvider.
func (c *QuarantineCommand) Help() string {
	return `Examples:

  parsleylug quarantine list
  parsleylug quarantine add 9f86d081884c7d659a2feaa0c55ad015a3bf4f1b2b0b822cd15d6c15b0f00a08
  parsleylug quarantine release 9f86d081884c7d659a2feaa0c55ad015a3bf4f1b2b0b822cd15d6c15b0f00a08
`
}

// Help implements kong.HelpProvider.
func (c *StatusCommand) Help() string {
	return `What is wrong comes first, each with the page that says what to do. Examples:

  parsleylug status
  parsleylug status --admin-url http://10.0.1.1:8081 --output json
`
}

// Help implements kong.HelpProvider.
func (c *WhyCommand) Help() string {
	return `Examples:

  parsleylug why 3f0c2a
  parsleylug why 3f0c2a --output json
`
}

// Help implements kong.HelpProvider.
func (c *ReportBurnCommand) Help() string {
	return `Examples:

  parsleylug report burn
  parsleylug report burn --fail-on fast
  parsleylug report burn --html burn.html
`
}

// Help implements kong.HelpProvider.
func (c *ReportWakingCommand) Help() string {
	return `Examples:

  parsleylug report waking --generate imnar:1 --generate coral:1 --png frontier.png
  parsleylug report waking --generate coral:7 --write coral.jsonl
`
}

// Help implements kong.HelpProvider.
func (c *SettingsCommand) Help() string {
	return `Examples:

  parsleylug settings
  parsleylug settings --region townsville --output json
`
}

// Help implements kong.HelpProvider.
func (c *CompletionCommand) Help() string {
	return `Examples:

  source <(parsleylug completion bash)
  parsleylug completion fish
`
}
