//! The `zinniaport-platform` program: parses the command line and calls the library.

use std::process::ExitCode;

use clap::Parser;
use zinniaport::commands::PlatformArguments;

#[tokio::main]
async fn main() -> ExitCode {
    PlatformArguments::parse().run().await
}
