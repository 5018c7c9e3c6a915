//! Stored intents and claim segments: their size, CPU time and number of writes.

use std::collections::{BTreeMap, HashMap, VecDeque};
use std::hint::black_box;
use std::time::Duration;

use zinniaport_core::claims::{ClaimOwner, ClaimSegment, IdempotencyKey};
use zinniaport_core::clock::Timestamp;
use zinniaport_core::controllers::{
    ClaimResult, ClaimsController, ClaimsEffect, ClaimsMessage, ReadReply, SegmentName,
    StateController, StoreEra, WriteReply,
};
use zinniaport_core::digest::ShortDigest;
use zinniaport_core::plan::{AppliedPlan, StoredIntent};

use super::ROUNDS;
use super::fixtures::{NOW, intent};
use super::meter::cpu_time_us;
use super::report::{SlopeRow, SlopeSubject};

/// Duration of a store call in [`ClaimSimulation`].
const STORE_CALL_TIME: Duration = Duration::from_millis(3);

fn stored_intent(targets: usize, plans: usize) -> StoredIntent {
    let plan = |number: usize| {
        let identity = ShortDigest::of(&[b"plan", &number.to_be_bytes()]);
        AppliedPlan(identity, 1_000_000 + number as u64)
    };
    let applied: VecDeque<_> = (0..plans).map(plan).collect();
    StoredIntent {
        intent: intent(0, targets, 0),
        author: "ana".to_owned(),
        applied,
        version_offset: 0,
    }
}

fn json_bytes(value: &impl serde::Serialize) -> f64 {
    serde_json::to_vec(value).map_or(f64::NAN, |text| text.len() as f64)
}

/// Returns a distinct idempotency key for each number.
fn key(number: u64) -> Option<IdempotencyKey> {
    let time = format!("{:012x}", NOW.0 / 1000);
    let tail = ShortDigest::of(&[&number.to_be_bytes()]).high_bits() >> 16;
    let text = format!("{}-{}-7000-8000-{tail:012x}", &time[..8], &time[8..]);
    IdempotencyKey::parse("roster-sign-up", text.as_bytes()).ok()
}

/// Returns a segment with `claims` claims of one entry.
fn segment(claims: usize) -> ClaimSegment {
    let mut segment = ClaimSegment::default();
    for number in 0..claims as u64 {
        let owner = ClaimOwner {
            entry: "entry-0000".to_owned(),
            incarnation: NOW.0,
            nonce: ShortDigest::of(&[b"nonce", &number.to_be_bytes()]).high_bits(),
        };
        if let Some(key) = key(number) {
            segment.insert_claim(key, &owner, NOW);
        }
    }
    segment
}

/// Discrete-event simulation of the claims controller of one entry with a store that responds
/// after [`STORE_CALL_TIME`].
#[derive(Default)]
struct ClaimSimulation {
    /// Messages for the controller, by time and sequence number.
    pending: BTreeMap<(u64, u64), ClaimsMessage>,
    /// Content and version of the stored segments.
    stored: HashMap<SegmentName, (ClaimSegment, u64)>,
    sequence: u64,
    writes: u64,
    granted: u64,
}

impl ClaimSimulation {
    fn schedule(&mut self, time: Timestamp, message: ClaimsMessage) {
        self.sequence += 1;
        self.pending.insert((time.0, self.sequence), message);
    }

    fn apply_effect(&mut self, effect: ClaimsEffect, now: Timestamp) {
        match effect {
            ClaimsEffect::Wake(name, delay) => {
                self.schedule(now + delay, ClaimsMessage::Wake(name));
            }
            ClaimsEffect::Read(name, delay) => {
                let reply = match self.stored.get(&name) {
                    Some((content, version)) => {
                        ReadReply::Found { content: content.clone(), version: *version }
                    }
                    None => ReadReply::Absent,
                };
                self.schedule(
                    now + delay + STORE_CALL_TIME,
                    ClaimsMessage::Read(name, StoreEra::default(), reply),
                );
            }
            ClaimsEffect::Write(name, content, era, _) => {
                self.writes += 1;
                let version = self.writes;
                self.stored.insert(name.clone(), (content, version));
                let reply = WriteReply::Written(version);
                self.schedule(now + STORE_CALL_TIME, ClaimsMessage::Wrote(name, era, reply));
            }
            ClaimsEffect::Resolve(_, result) => {
                self.granted += u64::from(result == ClaimResult::Granted);
            }
        }
    }

    /// Returns the number of claims per write of a segment when one entry receives `rate` claims
    /// per second for one second. No other entry writes the segments, and no
    /// `ClaimsMessage::RecordState` is sent.
    fn claims_per_write(rate: usize) -> f64 {
        let mut simulation = Self::default();
        let mut controller =
            ClaimsController::new("entry-0000".to_owned(), NOW.0, Duration::from_secs(86_400));
        for number in 0..rate as u64 {
            let Some(key) = key(number) else { continue };
            let time = NOW + Duration::from_micros(number * 1_000_000 / rate as u64);
            let service = "roster-sign-up".to_owned();
            simulation.schedule(time, ClaimsMessage::Claim { service, key, nonce: number });
        }
        while let Some(((time, _), message)) = simulation.pending.pop_first() {
            for effect in controller.handle(message, Timestamp(time)) {
                simulation.apply_effect(effect, Timestamp(time));
            }
        }
        simulation.granted as f64 / simulation.writes.max(1) as f64
    }
}

/// Measures stored intents and claim segments.
pub fn rows() -> Vec<SlopeRow> {
    let row = |quantity, unit, size, sizes: &[usize], measure: &dyn Fn(usize) -> f64| {
        SlopeRow::measure(SlopeSubject { quantity, unit, size }, sizes, ROUNDS, measure)
    };
    let claims = [10, 100, 1_000, 4_000];
    vec![
        row("Stored intent without plans", "bytes", "targets", &[5, 20, 80, 320], &|targets| {
            json_bytes(&stored_intent(targets, 0))
        }),
        row("Stored intent of 20 targets", "bytes", "applied plans", &[0, 64, 256], &|plans| {
            json_bytes(&stored_intent(20, plans))
        }),
        row("Segment of claims", "bytes", "claims", &claims, &|claims| {
            json_bytes(&segment(claims))
        }),
        row("Segment of claims, encode and decode", "us", "claims", &claims, &|claims| {
            let segment = segment(claims);
            cpu_time_us(20, || {
                let text = serde_json::to_vec(black_box(&segment)).unwrap_or_default();
                let _ = black_box(serde_json::from_slice::<ClaimSegment>(&text));
            })
        }),
        row(
            "Claims for each write of a segment, simulated",
            "claims",
            "claims a second at one entry",
            &[10, 1_000, 10_000, 100_000],
            &ClaimSimulation::claims_per_write,
        ),
    ]
}
