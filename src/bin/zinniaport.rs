//! The `zinniaport` program: parses the command line and calls the library.

use std::process::ExitCode;

use clap::Parser;
use zinniaport::commands::Arguments;

#[tokio::main]
async fn main() -> ExitCode {
    Arguments::parse().run().await
}
