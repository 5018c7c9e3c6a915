//! Learns the data centre of each other entry, measures round trips to those of other data centres
//! and decides from these whether services are divided by data centre.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use indexmap::IndexMap;

use super::StateController;
use crate::clock::Timestamp;
use crate::placement::{DataCentreParts, DistanceMonitor};
use crate::signals::LocationMessage;

/// Time after the first request without a response after which an entry is asked again. It doubles
/// each time, since entries of earlier versions never respond.
const FIRST_RETRY: Duration = Duration::from_secs(1);

/// Longest time between two requests to an entry that does not respond.
const MAX_RETRY: Duration = Duration::from_secs(60);

/// Time for which the entry with the higher address waits for the request of the other one. One
/// exchange tells both.
const TURN_TIME: Duration = Duration::from_millis(500);

/// Time between two measurements while their result is open.
const UNSETTLED_PERIOD: Duration = Duration::from_millis(250);

/// Time between two measurements otherwise. A measurement counts for a minute.
const SETTLED_PERIOD: Duration = Duration::from_secs(15);

/// Messages that the locations controller handles.
#[derive(Clone, Debug)]
pub enum LocationsMessage {
    /// These other entries are live.
    Live(Vec<SocketAddr>),
    /// A message of another entry arrived.
    Received(SocketAddr, LocationMessage),
    /// Time passed. Due every 50 ms.
    Tick,
}

/// Effects that the locations controller requests from its driver.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum LocationsEffect {
    /// Send a message to an entry.
    Send(SocketAddr, LocationMessage),
    /// The known data centres changed. Holds that of each entry, this one included.
    Located(Arc<HashMap<SocketAddr, Arc<str>>>),
    /// Whether services are divided by data centre, and the lowest round trip between data centres,
    /// as soon as either is known.
    Divided(bool, Option<Duration>),
}

#[derive(Debug)]
struct PeerLocation {
    data_centre: Option<Arc<str>>,
    ask_at: Timestamp,
    retry_after: Duration,
}

/// Owns the data centres of the other entries.
#[derive(Debug)]
pub struct LocationsController {
    own_address: SocketAddr,
    own_data_centre: Arc<str>,
    mode: DataCentreParts,
    peers: IndexMap<SocketAddr, PeerLocation>,
    distance: DistanceMonitor,
    /// Clock reading of the last measurement and the next entry to measure with.
    measured: (Timestamp, usize),
    is_divided: bool,
    /// Whether services are divided and the round trip between data centres is known.
    is_measured: bool,
}

impl LocationsController {
    /// Creates the controller of the entry with this address in this data centre.
    pub fn new(own_address: SocketAddr, data_centre: Arc<str>, mode: DataCentreParts) -> Self {
        Self {
            own_address,
            own_data_centre: data_centre,
            mode,
            peers: IndexMap::new(),
            distance: DistanceMonitor::default(),
            measured: (Timestamp::default(), 0),
            is_divided: false,
            is_measured: false,
        }
    }

    fn message(&self, sent: u64, is_response: bool, now: Timestamp) -> LocationMessage {
        let data_centre = self.own_data_centre.to_string();
        LocationMessage { data_centre, sent, is_response, lowest: self.distance.report(now) }
    }

    fn located(&self) -> LocationsEffect {
        let known = |(address, peer): (&SocketAddr, &PeerLocation)| {
            Some((*address, peer.data_centre.clone()?))
        };
        let own = (self.own_address, self.own_data_centre.clone());
        LocationsEffect::Located(Arc::new(
            self.peers.iter().filter_map(known).chain([own]).collect(),
        ))
    }

    fn set_live(&mut self, live: &[SocketAddr], now: Timestamp) -> Vec<LocationsEffect> {
        let count = self.peers.len();
        self.peers.retain(|address, _| live.contains(address));
        let mut effects = Vec::new();
        if self.peers.len() != count {
            effects.push(self.located());
        }
        for address in live.iter().filter(|address| **address != self.own_address) {
            let turn = if *address < self.own_address { TURN_TIME } else { Duration::ZERO };
            self.peers.entry(*address).or_insert(PeerLocation {
                data_centre: None,
                ask_at: now + turn,
                retry_after: FIRST_RETRY,
            });
        }
        effects
    }

    fn receive(
        &mut self,
        from: SocketAddr,
        message: &LocationMessage,
        now: Timestamp,
    ) -> Vec<LocationsEffect> {
        let mut effects = Vec::new();
        self.distance.record_report(message.lowest, now);
        let is_remote = *message.data_centre != *self.own_data_centre;
        if !message.is_response {
            effects.push(LocationsEffect::Send(from, self.message(message.sent, true, now)));
        } else if is_remote && message.sent <= now.0 {
            self.distance.record(now.since(Timestamp(message.sent)), now);
        }
        // An entry that is not live yet is asked when it is.
        let Some(peer) = self.peers.get_mut(&from) else { return effects };
        if peer.data_centre.as_deref() != Some(&*message.data_centre) {
            peer.data_centre = Some(message.data_centre.as_str().into());
            effects.push(self.located());
        }
        effects
    }

    /// Returns the entries to ask where they are. While services are not divided, only the round
    /// trip matters, and a few answers tell it.
    fn due_requests(&mut self, now: Timestamp) -> Vec<SocketAddr> {
        let mut due = Vec::new();
        if self.is_divided {
            for (address, peer) in &mut self.peers {
                if peer.data_centre.is_none() && now >= peer.ask_at {
                    peer.ask_at = now + peer.retry_after;
                    peer.retry_after = (peer.retry_after * 2).min(MAX_RETRY);
                    due.push(*address);
                }
            }
        }
        let (measured, next) = self.measured;
        let is_unsettled = self.distance.is_unsettled(now);
        let period = if is_unsettled { UNSETTLED_PERIOD } else { SETTLED_PERIOD };
        if due.is_empty() && now.since(measured) >= period {
            let may_be_remote =
                |peer: &PeerLocation| peer.data_centre.as_ref() != Some(&self.own_data_centre);
            let remote = self.peers.iter().filter(|(_, peer)| may_be_remote(peer));
            let remote: Vec<_> = remote.map(|(address, _)| *address).collect();
            due.extend(remote.get(next % remote.len().max(1)));
            self.measured = (now, next.wrapping_add(1));
        }
        due
    }

    fn tick(&mut self, now: Timestamp) -> Vec<LocationsEffect> {
        let due = self.due_requests(now);
        let send = |address| LocationsEffect::Send(address, self.message(now.0, false, now));
        let mut effects: Vec<_> = due.into_iter().map(send).collect();
        let is_divided = match self.mode {
            DataCentreParts::Auto => self.distance.decide(now),
            DataCentreParts::Always => true,
            DataCentreParts::Never => false,
        };
        let round_trip = self.distance.round_trip(now);
        // Where services are divided from the start, the round trip is not known at first.
        let is_measured = is_divided && round_trip.is_some() && !self.is_measured;
        if is_divided != self.is_divided || is_measured {
            effects.push(LocationsEffect::Divided(is_divided, round_trip));
        }
        self.is_divided = is_divided;
        self.is_measured = is_divided && round_trip.is_some();
        effects
    }
}

impl StateController for LocationsController {
    type Message = LocationsMessage;
    type Effect = LocationsEffect;

    fn handle(&mut self, message: Self::Message, now: Timestamp) -> Vec<Self::Effect> {
        match message {
            LocationsMessage::Live(live) => self.set_live(&live, now),
            LocationsMessage::Received(from, message) => self.receive(from, &message, now),
            LocationsMessage::Tick => self.tick(now),
        }
    }
}
