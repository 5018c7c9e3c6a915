//! Small stand-ins for the outside systems, used by tests, the bench and the demo.

mod http1;
pub mod platform;
pub mod target;
