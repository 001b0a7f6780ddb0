package commands

import (
	"fmt"
	"os"
	"path/filepath"

	"github.com/pkg/errors"
)

// CompletionCommand prints what a shell needs to complete command lines.
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

// Run prints the lines; the shell then asks the program itself.
func (c *CompletionCommand) Run(d *Deps) error {
	program, err := os.Executable()
	if err != nil {
		return errors.Wrap(err, "find the program")
	}
	program, err = filepath.Abs(program)
	if err != nil {
		return errors.Wrap(err, "find the program")
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
