//! Messages between an entry and the owner of a group of tenants.

use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::tenants::TenantTag;

/// Delay of a grant that stands for an owner that cannot grant tokens of a tenant at all.
const NO_TOKENS: u16 = u16::MAX;

/// Request for tokens of one tenant.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub struct TokenAsk {
    /// The tenant.
    pub tenant: TenantTag,
    /// Tokens that requests wait for.
    pub needed: u8,
    /// Further tokens that the entry expects to use before they expire.
    pub wanted: u8,
}

/// Response to a [`TokenAsk`].
#[derive(Clone, Copy, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub struct TokenGrant {
    /// The tenant.
    pub tenant: TenantTag,
    /// Granted tokens.
    pub tokens: u8,
    delay_ms: u16,
}

impl TokenGrant {
    /// Creates a grant of tokens that may be used after `delay`, or if there are none, a denial
    /// that states when the next one is due.
    pub fn new(tenant: TenantTag, tokens: u8, delay: Duration) -> Self {
        let delay_ms = delay.as_micros().div_ceil(1000).min(u128::from(NO_TOKENS - 1)) as u16;
        Self { tenant, tokens, delay_ms }
    }

    /// Creates the response of an entry that has no share of the limit of the tenant.
    pub fn unavailable(tenant: TenantTag) -> Self {
        Self { tenant, tokens: 0, delay_ms: NO_TOKENS }
    }

    /// Returns the delay, or `None` if the sender cannot grant tokens of the tenant.
    pub fn delay(&self) -> Option<Duration> {
        (self.delay_ms != NO_TOKENS).then(|| Duration::from_millis(self.delay_ms.into()))
    }
}

/// Delegates shares to an owner and asks it for tokens.
#[derive(Clone, Debug, Default, Eq, PartialEq, Serialize, Deserialize)]
pub struct QuotaRequest {
    /// Number of the request.
    pub sequence: u32,
    /// Number of entries that may be running, as the sender knows.
    pub entries: u16,
    /// Groups of which the sender delegates its share, one bit each.
    pub groups: u16,
    /// Newest time stamp that the sender received from the owner. The delegation ends
    /// [`super::DELEGATION_TIME`] after it, so that a request that was delayed on its way
    /// delegates nothing.
    pub echo: u64,
    /// Requested tokens.
    pub asks: Vec<TokenAsk>,
}

/// Response of an owner.
#[derive(Clone, Debug, Default, Eq, PartialEq, Serialize, Deserialize)]
pub struct QuotaResponse {
    /// Number of the request.
    pub sequence: u32,
    /// Time on the owner's clock.
    pub stamp: u64,
    /// Granted tokens.
    pub grants: Vec<TokenGrant>,
}

/// Message about the limits of tenants.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub enum QuotaMessage {
    /// To an owner.
    Request(QuotaRequest),
    /// From an owner.
    Response(QuotaResponse),
    /// To an owner: a token of this tenant was not used. Entries of earlier versions ignore it.
    Return(TenantTag),
}
