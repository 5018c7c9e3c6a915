//! The `zinniaport-target` program: parses the command line and calls the library.

use std::process::ExitCode;

use clap::Parser;
use zinniaport::commands::TargetArguments;

#[tokio::main]
async fn main() -> ExitCode {
    TargetArguments::parse().run().await
}
