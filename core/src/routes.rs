//! Routes from the host and path of a request to a service.

use std::sync::atomic::{AtomicU32, Ordering};

use indexmap::IndexMap;
use serde::{Deserialize, Serialize};

use crate::intent::KindIntent;
use crate::keys::{KindKey, ServiceKey};

/// Step between two draws of a weighted choice: 2^32 divided by the golden ratio. Its
/// multiples modulo 2^32 are spread evenly, so that the weights hold after a few requests.
const GOLDEN_STEP: u32 = 0x9e37_79b9;

/// A service of a route and its share of the requests.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub struct WeightedService {
    /// Name of the service.
    pub service: String,
    /// Share of the requests, relative to the other services of the route.
    pub weight: u32,
}

/// Intent of an operator for the requests of one host and path prefix.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct RouteIntent {
    /// Host of the requests.
    pub host: String,
    /// Prefix of the path; the route with the longest matching prefix applies.
    pub path_prefix: String,
    /// Kind of all requests of the route; its name is the name of the route.
    pub kind: KindIntent,
    /// Services that share the requests; empty if this version cannot serve the route.
    pub parts: Vec<WeightedService>,
    /// Whether requests need no API key although there are tenants.
    #[serde(default)]
    pub is_public: bool,
}

/// Service and kind that a route leads to.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct RouteDestination {
    /// Key of the service.
    pub service: ServiceKey,
    /// Key of the route's kind in that service.
    pub kind: KindKey,
}

/// A route with keys instead of names.
#[derive(Debug)]
pub struct RouteRule {
    path_prefix: String,
    parts: Vec<(RouteDestination, u32)>,
    is_public: bool,
    total_weight: u64,
    cursor: AtomicU32,
}

impl RouteRule {
    /// Creates a rule. `initial_cursor` is the start of its weighted choice; entries use
    /// different values so that those that start together do not choose in lockstep.
    pub fn new(
        path_prefix: String,
        parts: Vec<(RouteDestination, u32)>,
        initial_cursor: u32,
    ) -> Self {
        let total_weight = parts.iter().map(|(_, weight)| u64::from(*weight)).sum();
        let cursor = AtomicU32::new(initial_cursor);
        Self { path_prefix, parts, is_public: false, total_weight, cursor }
    }

    /// Sets whether requests need no API key.
    #[must_use]
    pub fn with_public(self, is_public: bool) -> Self {
        Self { is_public, ..self }
    }

    /// Returns `true` if requests need no API key.
    pub fn is_public(&self) -> bool {
        self.is_public
    }

    /// Picks a service by weight.
    pub fn pick(&self) -> Option<RouteDestination> {
        if let [(destination, _)] = self.parts[..] {
            return Some(destination);
        }
        let cursor_value = self.cursor.fetch_add(GOLDEN_STEP, Ordering::Relaxed);
        let mut point = (u64::from(cursor_value) * self.total_weight) >> 32;
        for (destination, weight) in &self.parts {
            match point.checked_sub(u64::from(*weight)) {
                None => return Some(*destination),
                Some(rest) => point = rest,
            }
        }
        None
    }
}

/// Limits set by the operator on what a caller may send and how long a connection may stay
/// idle.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub struct CallerLimits {
    /// Maximum size of a request head, in bytes.
    pub max_header_bytes: u32,
    /// Maximum size of a request body, in bytes.
    pub max_body_bytes: u64,
    /// Maximum time to receive a request head, in milliseconds.
    pub header_timeout_ms: u64,
    /// Maximum time for which a connection may stay idle, in milliseconds.
    pub idle_timeout_ms: u64,
}

/// All routes of one version of the configuration.
#[derive(Debug, Default)]
pub struct RoutingTable {
    /// Version of the configuration; 0 if none is known.
    pub version: u64,
    /// Limits on callers, if the configuration states them.
    pub limits: Option<CallerLimits>,
    /// Items of the configuration that this version does not use.
    pub unused_items: Vec<String>,
    hosts: IndexMap<String, Vec<RouteRule>>,
}

impl RoutingTable {
    /// Creates a table without routes.
    pub fn new(version: u64, limits: Option<CallerLimits>) -> Self {
        Self { version, limits, ..Self::default() }
    }

    /// Adds a route.
    pub fn add(&mut self, host: &str, rule: RouteRule) {
        let rules = self.hosts.entry(host.to_ascii_lowercase()).or_default();
        let length = rule.path_prefix.len();
        let position = rules.partition_point(|other| other.path_prefix.len() >= length);
        rules.insert(position, rule);
    }

    /// Returns `true` if a configuration is known.
    pub fn has_configuration(&self) -> bool {
        self.version > 0
    }

    /// Returns the route of a request. Ignores a port after the host.
    pub fn find(&self, host: &str, path: &str) -> Option<&RouteRule> {
        let host = host.rsplit_once(':').map_or(host, |(name, port)| {
            if port.bytes().all(|byte| byte.is_ascii_digit()) { name } else { host }
        });
        let rules = match self.hosts.get(host) {
            Some(rules) => rules,
            None => self.hosts.get(&host.to_ascii_lowercase())?,
        };
        rules.iter().find(|rule| path.starts_with(&rule.path_prefix))
    }
}
