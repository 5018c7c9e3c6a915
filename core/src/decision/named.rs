//! Records with names in place of keys, for people and for other entries.

use serde::{Deserialize, Serialize};
use slotmap::Key;

use super::{AdmissionTrace, DecisionRecord};
use crate::call::{CallOutcome, ReasonCode};
use crate::caller::CallerTable;
use crate::clock::Timestamp;
use crate::fleet::FleetSnapshot;

/// A decision record with names in place of keys, readable outside the entry that wrote it.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct NamedRecord {
    /// Entry that wrote the record.
    pub entry: String,
    /// Number of the record at that entry.
    pub number: u64,
    /// Identity of the request.
    pub request_id: String,
    /// Name of the service.
    pub service: String,
    /// Name of the kind.
    pub kind: String,
    /// Rank of the kind.
    pub rank: u8,
    /// Name of the caller, as the entry that wrote the record knows it.
    pub caller: String,
    /// Version of the intent under which the request was classified.
    pub config_version: u64,
    /// When the request arrived.
    pub arrived: Timestamp,
    /// Its deadline; 0 if it was refused before it had one.
    pub deadline: Timestamp,
    /// How it was admitted.
    pub admission: Option<AdmissionTrace>,
    /// Its dispatches, in order.
    pub dispatches: Vec<NamedDispatch>,
    /// Whether it ran, as far as that is known.
    pub outcome: CallOutcome,
    /// The rule that determined the response.
    pub reason: ReasonCode,
    /// HTTP status of the response; 0 if the caller disconnected before it.
    pub status: u16,
    /// When the head of the response was ready.
    pub answered: Timestamp,
    /// Age of the fleet snapshot at the end of the request, in microseconds.
    pub snapshot_age_us: u64,
}

/// One dispatch of a request to a target.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct NamedDispatch {
    /// Address of the target.
    pub target: String,
    /// The rule that picked it.
    pub rule: ReasonCode,
    /// Number of targets that could have been picked.
    pub candidates: u16,
    /// When the request was dispatched.
    pub dispatched: Timestamp,
    /// Age of the load report that the choice used, in microseconds; `None` if it used
    /// none.
    pub report_age_us: Option<u32>,
}

impl DecisionRecord {
    /// Returns the record with the names that `fleet` and `callers` hold for its keys.
    /// Something that was removed in the meantime is named as removed.
    pub fn named(
        &self,
        number: u64,
        entry: &str,
        fleet: &FleetSnapshot,
        callers: &CallerTable,
    ) -> NamedRecord {
        self.named_with_caller(number, entry, fleet, callers.name(self.facts.caller).as_deref())
    }

    /// Returns the record with names, like [`Self::named`], for a caller name that was
    /// looked up already.
    pub fn named_with_caller(
        &self,
        number: u64,
        entry: &str,
        fleet: &FleetSnapshot,
        caller: Option<&str>,
    ) -> NamedRecord {
        let facts = &self.facts;
        let service = fleet.services.get(facts.service);
        let dispatches = self.dispatches().map(|dispatch| NamedDispatch {
            target: fleet
                .targets
                .get(dispatch.target)
                .map_or_else(|| "removed target".to_owned(), |found| found.address.to_string()),
            rule: dispatch.rule,
            candidates: dispatch.candidates,
            dispatched: dispatch.dispatched,
            report_age_us: dispatch.report_age_us,
        });
        NamedRecord {
            entry: entry.to_owned(),
            number,
            request_id: self.request_id.to_string(),
            service: match service {
                Some(service) => service.intent.service.clone(),
                None if facts.service.is_null() => "unknown service".to_owned(),
                None => "removed service".to_owned(),
            },
            kind: self.kind_name(fleet),
            rank: facts.rank,
            caller: match caller {
                Some(name) => name.to_string(),
                None if facts.caller.is_null() => "unnamed".to_owned(),
                None => "forgotten caller".to_owned(),
            },
            config_version: facts.config_version,
            arrived: facts.arrived,
            deadline: facts.deadline,
            admission: self.trace.admission,
            dispatches: dispatches.collect(),
            outcome: self.end.outcome,
            reason: self.end.reason,
            status: self.end.status,
            answered: self.end.answered,
            snapshot_age_us: self.end.answered.since(self.end.snapshot_published).as_micros()
                as u64,
        }
    }

    /// Returns the name of the kind, unless it was removed since.
    pub fn kind_name(&self, fleet: &FleetSnapshot) -> String {
        if !self.is_classified() {
            return "unknown kind".to_owned();
        }
        let service = fleet.services.get(self.facts.service);
        let kind = service.and_then(|service| service.kinds.get(self.facts.kind));
        kind.map_or_else(|| "removed kind".to_owned(), |kind| kind.name.clone())
    }
}

impl NamedRecord {
    /// Returns the time from arrival until the head of the response was ready.
    pub fn duration(&self) -> std::time::Duration {
        self.answered.since(self.arrived)
    }

    /// Returns the time that the request spent in the queue; zero if it was not queued.
    pub fn waited(&self) -> std::time::Duration {
        self.admission.map(|trace| trace.admitted.since(trace.queued)).unwrap_or_default()
    }
}
