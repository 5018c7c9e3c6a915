//! Objects in the store: intents and segments of claims.

use std::collections::{BTreeMap, HashMap, VecDeque};
use std::hint::black_box;
use std::time::Duration;

use zinniaport_core::claims::{ClaimOwner, ClaimSegment, IdempotencyKey};
use zinniaport_core::clock::Timestamp;
use zinniaport_core::controllers::{
    ClaimResult, ClaimsController, ClaimsEffect, ClaimsMessage, ReadReply, SegmentName,
    StateController, WriteReply,
};
use zinniaport_core::digest::ShortDigest;
use zinniaport_core::plan::{AppliedPlan, StoredIntent};

use super::ROUNDS;
use super::fixtures::{NOW, intent};
use super::meter::processor_us;
use super::report::{SlopeRow, SlopeSubject};

/// Time of one store call in the simulation of claims.
const STORE_CALL: Duration = Duration::from_millis(3);

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

fn key(number: u64) -> Option<IdempotencyKey> {
    let time = format!("{:012x}", NOW.0 / 1000);
    let tail = ShortDigest::of(&[&number.to_be_bytes()]).high_bits() >> 16;
    let text = format!("{}-{}-7000-8000-{tail:012x}", &time[..8], &time[8..]);
    IdempotencyKey::parse("roster-sign-up", text.as_bytes()).ok()
}

fn segment(claims: usize) -> ClaimSegment {
    let mut segment = ClaimSegment::default();
    for number in 0..claims as u64 {
        let owner = ClaimOwner {
            entry: "entry-0000".to_owned(),
            incarnation: NOW.0,
            nonce: ShortDigest::of(&[b"nonce", &number.to_be_bytes()]).high_bits(),
        };
        if let Some(key) = key(number) {
            segment.insert_claim(key, &owner);
        }
    }
    segment
}

/// One entry's claims controller with a store that answers after [`STORE_CALL`].
#[derive(Default)]
struct ClaimTrial {
    due: BTreeMap<(u64, u64), ClaimsMessage>,
    stored: HashMap<SegmentName, (ClaimSegment, u64)>,
    scheduled: u64,
    writes: u64,
    granted: u64,
}

impl ClaimTrial {
    fn schedule(&mut self, time: Timestamp, message: ClaimsMessage) {
        self.scheduled += 1;
        self.due.insert((time.0, self.scheduled), message);
    }

    fn carry_out(&mut self, effect: ClaimsEffect, now: Timestamp) {
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
                self.schedule(now + delay + STORE_CALL, ClaimsMessage::Read(name, reply));
            }
            ClaimsEffect::Write(name, content, _) => {
                self.writes += 1;
                let version = self.writes;
                self.stored.insert(name.clone(), (content, version));
                let reply = WriteReply::Written(version);
                self.schedule(now + STORE_CALL, ClaimsMessage::Wrote(name, reply));
            }
            ClaimsEffect::Resolve(_, answer) => {
                self.granted += u64::from(answer == ClaimResult::Granted);
            }
        }
    }

    /// Gives the claims for each write when one entry receives `rate` claims a
    /// second for one second, without conflicts and without marks.
    fn claims_per_write(rate: usize) -> f64 {
        let mut trial = Self::default();
        let mut controller =
            ClaimsController::new("entry-0000".to_owned(), NOW.0, Duration::from_secs(86_400));
        for number in 0..rate as u64 {
            let Some(key) = key(number) else { continue };
            let time = NOW + Duration::from_micros(number * 1_000_000 / rate as u64);
            let service = "roster-sign-up".to_owned();
            trial.schedule(time, ClaimsMessage::Claim { service, key, nonce: number });
        }
        while let Some(((time, _), message)) = trial.due.pop_first() {
            for effect in controller.handle(message, Timestamp(time)) {
                trial.carry_out(effect, Timestamp(time));
            }
        }
        trial.granted as f64 / trial.writes.max(1) as f64
    }
}

/// Measures intents and claims as the store keeps them.
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
            processor_us(20, || {
                let text = serde_json::to_vec(black_box(&segment)).unwrap_or_default();
                let _ = black_box(serde_json::from_slice::<ClaimSegment>(&text));
            })
        }),
        row(
            "Claims for each write of a segment, simulated",
            "claims",
            "claims a second at one entry",
            &[10, 1_000, 10_000, 100_000],
            &ClaimTrial::claims_per_write,
        ),
    ]
}
