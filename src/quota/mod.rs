//! Tokens of the limits of tenants: their source for the request path, and the driver that gets
//! them from owners and grants them as one.

mod driver;
mod handle;
mod registry;

use std::time::Duration;

pub use driver::QuotaDriver;
use futures::future::BoxFuture;
pub use handle::QuotaHandle;
pub use registry::{EntryRegistry, RegisteredEntries, RegistryDriver};
use zinniaport_core::clock::Timestamp;
use zinniaport_core::tenants::TenantTag;

/// Decision on a request for a token.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum TokenDecision {
    /// The request may be dispatched from this time on.
    Granted(Timestamp),
    /// The tenant is over its limit. A token is due after the delay.
    Exceeded(Duration),
    /// No entry could decide. One may after the delay.
    Unavailable(Duration),
}

/// Source of the tokens of tenants with a limit.
pub trait TokenSource: Send + Sync {
    /// Takes a token of a tenant.
    fn take(&self, tenant: TenantTag) -> BoxFuture<'_, TokenDecision>;

    /// Gives back a token that was granted to a request which was passed on to no target.
    fn give_back(&self, tenant: TenantTag);
}
