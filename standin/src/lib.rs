//! Small stand-ins for the platform and for targets, used by tests, the bench and the
//! demo.

mod http1;
pub mod platform;
pub mod target;
