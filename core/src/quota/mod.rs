//! Rate limits of tenants over all entries together.
//!
//! The tenants are divided into groups, and each group has an owner among the entries. Each
//! entry has the share `1 / N` of every limit, where `N` is the number of registered entries, and
//! delegates it for a short time to the owner, which keeps a token bucket that fills
//! at the rate of the shares delegated to it. A share is never delegated twice at the same time, so
//! that the sum over several owners, as during a partition, never exceeds the limit.

mod bucket;
mod controller;
mod hand;
mod holder;
mod link;
mod message;
mod owner;
mod roster;

use std::time::Duration;

pub use bucket::{BucketLimit, TokenBucket};
pub use controller::{QuotaController, QuotaEffect, QuotaEvent};
pub use holder::{HolderEffect, TakeId, TokenHolder};
pub use message::{QuotaMessage, QuotaRequest, QuotaResponse, TokenAsk, TokenGrant};
pub use owner::{OwnShare, OwnerView, TokenOwner};
pub use roster::{
    EntryRegistration, EntryRoster, FleetEvidence, JOIN_TIME, REGISTRATION_RENEWAL,
    REGISTRATION_TIME, TRUST_TIME,
};

use crate::tenants::{TenantLimit, TenantTag};

/// Number of groups of tenants. Each message carries a bit for each group.
pub const GROUP_COUNT: usize = 16;

/// Number of entries that own groups, those with the largest capacity. Each entry exchanges a
/// message with each of them in every [`RENEWAL_PERIOD`]. Each signal lists this many of the
/// largest entries first, so that an entry that starts knows them at once.
pub const MAX_OWNERS: usize = 4;

/// Time for which a share is delegated, and so the time without tokens after an owner died.
pub const DELEGATION_TIME: Duration = Duration::from_millis(800);

/// Time between two messages to an owner, so that a lost one does not end the delegation.
pub const RENEWAL_PERIOD: Duration = Duration::from_millis(300);

/// Time after its request in which an entry may use a token. Together with `MAX_TOKEN_AGE` it
/// takes up half of the rate of a second, the overage of 0.1 over 5 s.
pub const HOLD_TIME: Duration = Duration::from_millis(250);

/// Time after it was taken in which a token of any tenant entitles to a dispatch. See
/// [`max_token_age`].
const MAX_TOKEN_AGE: Duration = Duration::from_millis(200);

/// Requests by which tokens that entitle to a dispatch for longer than `MAX_TOKEN_AGE` may exceed
/// the limit, a quarter of the slack of 20 requests.
const AGE_SLACK: f64 = 5.0;

/// Tokens that a bucket holds beyond the burst, two fifths of the slack of 20 requests. The
/// rest covers the draws of [`TokenBucket`] and the time in which limits change.
pub const EXTRA_BURST: f64 = 8.0;

/// Time by which an owner grants tokens in advance. The entry waits until they are due.
pub const RESERVE_TIME: Duration = Duration::from_millis(50);

/// Time after which a request waits no longer for a response of the owner. The shortest soft
/// deadline in use is 400 ms.
pub const MAX_WAIT: Duration = Duration::from_millis(60);

/// Time after which a request for tokens without a response is sent again. A round trip takes
/// 2 ms, and small entries may be paused for longer.
pub const RESEND_AFTER: Duration = Duration::from_millis(20);

/// Time without any response after which an owner is suspected. A faster suspicion gains nothing,
/// since the shares stay delegated until [`DELEGATION_TIME`] has passed.
pub const SUSPECT_AFTER: Duration = Duration::from_millis(250);

/// Shortest time for which an entry asks for no tokens after it got none. With it, a tenant far
/// above its limit causes at most 20 requests per second and entry.
pub const MIN_BACKOFF: Duration = Duration::from_millis(50);

/// Longest time for which an entry asks for no tokens after it got none.
pub const MAX_BACKOFF: Duration = Duration::from_millis(150);

/// Time after its start before which an entry does not use its own share. The shares that its
/// process before delegated have ended by then.
pub const SETTLE_TIME: Duration = Duration::from_secs(1);

/// Returns the time after it was taken in which a token entitles to a dispatch. A request that
/// waited longer for a target takes another one. The time is longer for small tenants, whose
/// requests would otherwise take two tokens when queues are long.
pub fn max_token_age(limit: TenantLimit) -> Duration {
    let slack = (AGE_SLACK / limit.requests_per_second.max(1.0)).clamp(0.0, AGE_SLACK);
    MAX_TOKEN_AGE + Duration::from_secs_f64(slack)
}

/// Returns the group that a tenant belongs to.
pub fn group_of(tenant: TenantTag) -> usize {
    tenant.0 as usize % GROUP_COUNT
}
