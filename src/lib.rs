//! A load balancer for servers whose load changes within milliseconds. It can explain why
//! one request waited for another.
//!
//! Requests pass through a chain of [`filters`]. Controllers in [`zinniaport_core`] own the
//! state and publish snapshots that the filters read. [`runtime`] starts an entry inside
//! any program:
//!
//! ```no_run
//! use zinniaport::runtime::EntryRuntime;
//! use zinniaport::settings::EntrySettings;
//!
//! # async fn run() -> Result<(), Box<dyn std::error::Error>> {
//! let settings = EntrySettings::load("examples/one-entry.yaml".as_ref())?;
//! let entry = EntryRuntime::start(settings).await?;
//! println!("callers connect to {}", entry.caller_address());
//! entry.stop().await;
//! # Ok(())
//! # }
//! ```

pub mod admin;
pub mod bench;
pub mod claims;
pub mod commands;
pub mod control;
pub mod datagrams;
pub mod dialect;
pub mod directory;
pub mod exchange;
pub mod filters;
pub mod front;
pub mod gate;
pub mod held;
pub mod locations;
pub mod measuring;
pub mod own_identity;
pub mod peers;
pub mod placement;
pub mod pool;
pub mod propagation;
pub mod quota;
pub mod records;
pub mod refusal;
pub mod run_tracker;
pub mod runtime;
pub mod settings;
pub mod signals;
pub mod state;
pub mod store;
pub mod targets;
pub mod telemetry;
pub mod vms;
