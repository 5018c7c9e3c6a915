//! Routes: which service a request goes to by its host and path.

use std::sync::atomic::{AtomicU32, Ordering};

use indexmap::IndexMap;
use serde::{Deserialize, Serialize};

use crate::intent::KindIntent;
use crate::keys::ServiceKey;

/// Step between two draws of a weighted choice, 2^32 divided by the golden ratio.
/// Multiples of it spread evenly, so that a few requests already keep the weights.
const GOLDEN_STEP: u32 = 0x9e37_79b9;

/// One service of a route with its share of the requests.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub struct WeightedService {
    /// Name of the service.
    pub service: String,
    /// Share of the requests, relative to the other parts.
    pub weight: u32,
}

/// What an operator states about the requests of one host and path prefix.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct RouteIntent {
    /// Host that the requests name.
    pub host: String,
    /// Start of the path; the longest one that fits applies.
    pub path_prefix: String,
    /// The kind of all requests of the route; its name is the route's.
    pub kind: KindIntent,
    /// The services that share the requests.
    pub parts: Vec<WeightedService>,
}

/// A service of a route as the request path finds it.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct RouteDestination {
    /// The service.
    pub service: ServiceKey,
    /// Position of the route's kind in the intent of that service.
    pub kind: usize,
}

/// One route, with keys in place of names.
#[derive(Debug)]
pub struct RouteRule {
    path_prefix: String,
    parts: Vec<(RouteDestination, u32)>,
    total_weight: u64,
    draws: AtomicU32,
}

impl RouteRule {
    /// Creates a rule. `first_draw` is where its weighted choice starts, which
    /// keeps entries that start together from choosing in step.
    pub fn new(path_prefix: String, parts: Vec<(RouteDestination, u32)>, first_draw: u32) -> Self {
        let total_weight = parts.iter().map(|(_, weight)| u64::from(*weight)).sum();
        Self { path_prefix, parts, total_weight, draws: AtomicU32::new(first_draw) }
    }

    /// Picks a service by weight.
    pub fn pick(&self) -> Option<RouteDestination> {
        if let [(choice, _)] = self.parts[..] {
            return Some(choice);
        }
        let draw = self.draws.fetch_add(GOLDEN_STEP, Ordering::Relaxed);
        let mut point = (u64::from(draw) * self.total_weight) >> 32;
        for (choice, weight) in &self.parts {
            match point.checked_sub(u64::from(*weight)) {
                None => return Some(*choice),
                Some(rest) => point = rest,
            }
        }
        None
    }
}

/// Limits on what a caller may send and how long a connection may stay idle, as
/// the operator set them.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub struct CallerLimits {
    /// Largest request head, in bytes.
    pub max_header_bytes: u32,
    /// Largest request body, in bytes.
    pub max_body_bytes: u64,
    /// Longest time for a request head, in milliseconds.
    pub header_timeout_ms: u64,
    /// Longest time that a connection may stay idle, in milliseconds.
    pub idle_timeout_ms: u64,
}

/// All routes as of one version of the configuration.
#[derive(Debug, Default)]
pub struct RoutingTable {
    /// Version of the configuration; 0 while none is known.
    pub version: u64,
    /// Limits for callers, if the configuration states them.
    pub limits: Option<CallerLimits>,
    hosts: IndexMap<String, Vec<RouteRule>>,
}

impl RoutingTable {
    /// Creates a book without routes.
    pub fn new(version: u64, limits: Option<CallerLimits>) -> Self {
        Self { version, limits, hosts: IndexMap::new() }
    }

    /// Adds a route.
    pub fn add(&mut self, host: &str, rule: RouteRule) {
        let rules = self.hosts.entry(host.to_ascii_lowercase()).or_default();
        let length = rule.path_prefix.len();
        let place = rules.partition_point(|known| known.path_prefix.len() >= length);
        rules.insert(place, rule);
    }

    /// Tells whether a configuration has been learnt.
    pub fn is_known(&self) -> bool {
        self.version > 0
    }

    /// Finds the route of a request; a port behind the host is ignored.
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
