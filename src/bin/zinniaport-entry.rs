//! The `zinniaport-entry` program: parses the command line and calls the library.

use std::process::ExitCode;

use clap::Parser;
use zinniaport::commands::EntryArguments;

#[tokio::main]
async fn main() -> ExitCode {
    EntryArguments::parse().run().await
}
