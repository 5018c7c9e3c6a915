//! Decision logic of zinniaport.
//!
//! Everything here is pure: a decision takes a snapshot, a clock reading and a
//! random source, and returns what to do together with the reason. The crate
//! knows no HTTP, no RPC and no YAML, so that several front ends can share it.

pub mod admission;
pub mod backoff;
pub mod burn;
pub mod call;
pub mod caller;
pub mod claims;
pub mod clock;
pub mod controllers;
pub mod counters;
pub mod decision;
pub mod digest;
pub mod directory;
pub mod fleet;
pub mod intent;
pub mod keys;
pub mod outlier;
pub mod placement;
pub mod plan;
pub mod policy;
pub mod probe;
pub mod quarantine;
pub mod retry;
pub mod routes;
pub mod saturation;
pub mod signals;
