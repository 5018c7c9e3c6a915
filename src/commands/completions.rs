//! `zinniaport completions`: completion scripts for shells.

use std::process::ExitCode;

use clap::{Args, CommandFactory};
use clap_complete::Shell;

use super::Arguments;

/// Arguments of `zinniaport completions`.
#[derive(Debug, Args)]
#[command(after_help = "Example: zinniaport completions bash > /etc/bash_completion.d/zinniaport")]
pub struct CompletionArguments {
    /// Shell to generate the script for.
    #[arg(value_enum)]
    shell: Shell,
}

impl CompletionArguments {
    /// Prints the completion script.
    pub fn run(self) -> ExitCode {
        let mut command = Arguments::command();
        clap_complete::generate(self.shell, &mut command, "zinniaport", &mut std::io::stdout());
        ExitCode::SUCCESS
    }
}
