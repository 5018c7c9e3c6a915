//! Small stand-ins for the outside systems, used by tests, the bench and the demo.

pub mod target;
