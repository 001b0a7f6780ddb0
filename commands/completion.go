package commands

import (
	"fmt"
	"os"
	"path/filepath"

	"github.com/pkg/errors"
)

// CompletionCommand prints the code that enables completion in a shell.
type CompletionCommand struct {
	Shell string `arg:"" help:"Shell: bash, zsh or fish." enum:"bash,zsh,fish"`
}

const zshCompletion = "autoload -U +X bashcompinit && bashcompinit\n"

const fishCompletion = `function __complete_parsleylug
    set -lx COMP_LINE (commandline -cp)
    test -z (commandline -ct)
    and set COMP_LINE "$COMP_LINE "
    %q
end
complete -f -c parsleylug -a "(__complete_parsleylug)"
`

// Run prints shell code that registers this program as the completer of its own command
// lines.
func (c *CompletionCommand) Run(d *Deps) error {
	program, err := os.Executable()
	if err != nil {
		return errors.Wrap(err, "locate the executable")
	}
	program, err = filepath.Abs(program)
	if err != nil {
		return errors.Wrap(err, "resolve the path of the executable")
	}
	text := fmt.Sprintf("complete -C %q parsleylug\n", program)
	switch c.Shell {
	case "zsh":
		text = zshCompletion + text
	case "fish":
		text = fmt.Sprintf(fishCompletion, program)
	}
	_, err = fmt.Fprint(d.Out, text)
	return errors.Wrap(err, "print")
}
