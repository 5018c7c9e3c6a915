//! Command lines of the stand-in processes.

use std::net::SocketAddr;
use std::process::ExitCode;

use clap::Parser;
use zinniaport_standin::target::StandinTarget;

use super::wait_for_stop;

/// Runs a stand-in for a target.
#[derive(Debug, Parser)]
#[command(version, about, after_help = "Example: zinniaport-target --listen 127.0.0.1:7101")]
pub struct TargetArguments {
    /// Address to listen on.
    #[arg(long, default_value = "127.0.0.1:0")]
    listen: SocketAddr,
    /// Requests that run at the same time.
    #[arg(long, default_value_t = 3)]
    slots: usize,
}

impl TargetArguments {
    /// Runs the target until SIGTERM or Ctrl-C.
    pub async fn run(self) -> ExitCode {
        match StandinTarget::start(self.listen, self.slots).await {
            Ok(target) => {
                println!("listening: {}", target.address());
                wait_for_stop().await;
                ExitCode::SUCCESS
            }
            Err(error) => {
                eprintln!("cannot listen on {}: {error}; choose another address", self.listen);
                ExitCode::FAILURE
            }
        }
    }
}

/// Runs a stand-in for the platform.
#[derive(Debug, Parser)]
#[command(version, about, after_help = "Example: zinniaport-platform --listen 127.0.0.1:7001")]
pub struct PlatformArguments {
    /// Address to listen on.
    #[arg(long, default_value = "127.0.0.1:0")]
    listen: SocketAddr,
}

impl PlatformArguments {
    /// Runs the platform until SIGTERM or Ctrl-C.
    pub async fn run(self) -> ExitCode {
        match tokio::net::TcpListener::bind(self.listen).await {
            Ok(_listener) => {
                wait_for_stop().await;
                ExitCode::SUCCESS
            }
            Err(error) => {
                eprintln!("cannot listen on {}: {error}; choose another address", self.listen);
                ExitCode::FAILURE
            }
        }
    }
}
