//! Controllers: each owns one piece of state, takes messages and clock readings,
//! and returns effects for its driver to carry out.

mod burn;
mod drain;
mod measuring;
mod settings;
mod targets;

pub use burn::{BurnController, BurnEffect, BurnMessage};
pub use drain::{DrainController, DrainEffect, DrainLimits, DrainMessage, DrainState};
pub use measuring::{MeasuringController, MeasuringEffect, MeasuringMessage};
pub use settings::{SettingsController, SettingsEffect, SettingsMessage};
pub use targets::{TargetsController, TargetsEffect, TargetsMessage};

use crate::clock::Timestamp;

/// A state machine that owns one piece of state.
pub trait StateController: Send {
    /// What it is told.
    type Message: Send;
    /// What it asks its driver to do.
    type Effect: Send;

    /// Takes one message and returns the effects to carry out, in order.
    fn handle(&mut self, message: Self::Message, now: Timestamp) -> Vec<Self::Effect>;
}
