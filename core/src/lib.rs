//! Decision logic of zinniaport.
//!
//! Decisions are pure: each takes a snapshot, the current time and a source of randomness,
//! and returns what to do together with the reason. The crate does not depend on HTTP, RPC
//! or YAML, so that several front ends can share it.

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
pub mod evacuation;
pub mod fleet;
pub mod held_bytes;
pub mod intent;
pub mod keys;
pub mod kinds;
pub mod outlier;
pub mod placement;
pub mod plan;
pub mod policy;
pub mod probe;
pub mod quarantine;
pub mod quota;
pub mod request_limit;
pub mod retry;
pub mod routes;
pub mod saturation;
pub mod signals;
pub mod silence;
pub mod startup;
pub mod tenants;
pub mod warm_up;
