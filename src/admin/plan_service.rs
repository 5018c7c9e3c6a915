//! Drafting, storing and confirming plans.

use std::sync::Arc;
use std::time::Duration;

use derive_more::{Display, Error, From};
use zinniaport_core::controllers::{
    ConfirmOutcome, IntentsMessage, PlansController, PlansEffect, PlansMessage, ReadReply,
    StateController, StoreEra, WriteReply,
};
use zinniaport_core::intent::ServiceIntent;
use zinniaport_core::plan::{
    ChangePlan, IntentStatement, PlanBasis, PlanError, PlanIdentity, PlanStamp, StoredIntent,
    intent_name,
};

use super::access::TeamMember;
use crate::propagation::PropagationHandle;
use crate::settings::{CheckSettings, SettingsViolation, ViolationList, join_lines};
use crate::state::SharedState;
use crate::store::StoreClient;

/// Time after which a plan may be removed, to keep the list short: 5,400 plans per day
/// leave about 225.
const PLAN_LIFETIME: Duration = Duration::from_secs(3600);

/// A plan cannot be drafted, found or confirmed.
#[derive(Debug, Display, Error, From)]
pub enum PlanServiceError {
    /// The statement yields no plan.
    Plan(PlanError),
    /// Values of the intent violate rules; one line for each.
    #[from(ignore)]
    #[display("{}", join_lines(violations))]
    Violations {
        /// The violations.
        #[error(not(source))]
        violations: Vec<SettingsViolation>,
    },
    /// No intent is in force for the service.
    #[display("no intent is in force for this service; state one")]
    IntentNotFound,
    /// The service belongs to another team.
    #[from(ignore)]
    #[display("service {service} does not belong to team {team}; ask its owners to change it")]
    WrongTeam {
        /// The service.
        service: String,
        /// The team that sent the request.
        team: String,
    },
    /// The plan does not exist or was removed.
    #[display("no plan has this identity; state the intent again to get a new one")]
    PlanNotFound,
    /// The store returned no usable response.
    #[display("the platform's store does not answer; nothing was changed, try again later")]
    StoreUnavailable,
}

/// Drafts, stores and confirms plans.
pub struct PlanService {
    store: StoreClient,
    state: Arc<SharedState>,
    propagation: PropagationHandle,
}

impl PlanService {
    /// Creates a service. Confirmed intents are sent to `propagation` at once.
    pub fn new(
        store: StoreClient,
        state: Arc<SharedState>,
        propagation: PropagationHandle,
    ) -> Self {
        Self { store, state, propagation }
    }

    /// Drafts a plan and writes it to the store.
    ///
    /// # Errors
    ///
    /// Returns an error when the service belongs to another team, the statement yields no
    /// plan or the store does not respond.
    pub async fn draft(
        &self,
        member: &TeamMember,
        statement: IntentStatement,
    ) -> Result<ChangePlan, PlanServiceError> {
        check_intent(&statement.intent)?;
        let service = statement.intent.service.clone();
        let (stored, base_version) = self.read_base(&service).await?;
        let base_plan = stored.as_ref().and_then(StoredIntent::last_plan);
        let base = stored.map(|stored| stored.intent);
        let owners = base.iter().chain([&statement.intent]).map(|intent| &intent.team);
        if owners.into_iter().any(|team| *team != member.team) {
            return Err(PlanServiceError::WrongTeam { service, team: member.team.clone() });
        }
        let fleet = self.state.fleet.load_full();
        let basis = PlanBasis { base: base.as_ref(), base_version, base_plan, fleet: &fleet };
        let stamp = PlanStamp {
            author: member.author.clone(),
            nonce: rand::random(),
            created: self.state.clock.now(),
        };
        let plan = ChangePlan::draft(statement, &basis, stamp)?;
        match self.store.write(&plan_name(plan.identity), &plan, 0).await {
            // The nonce makes the name unique, so a conflict means that an earlier write
            // of the same plan took effect and its response was lost.
            WriteReply::Written(_) | WriteReply::Conflict(_) => Ok(plan),
            WriteReply::Refused | WriteReply::NoResponse => Err(PlanServiceError::StoreUnavailable),
        }
    }

    /// Returns the intent in force of a team's service.
    ///
    /// # Errors
    ///
    /// Returns an error when the service has no intent or belongs to another team, or the
    /// store does not respond.
    pub async fn read_intent(
        &self,
        member: &TeamMember,
        service: &str,
    ) -> Result<ServiceIntent, PlanServiceError> {
        let (base, _) = self.read_base(service).await?;
        let intent = base.ok_or(PlanServiceError::IntentNotFound)?.intent;
        if intent.team != member.team {
            let (service, team) = (service.to_owned(), member.team.clone());
            return Err(PlanServiceError::WrongTeam { service, team });
        }
        Ok(intent)
    }

    /// Reads the stored intent and its version, which is 0 if there is none.
    async fn read_base(
        &self,
        service: &str,
    ) -> Result<(Option<StoredIntent>, u64), PlanServiceError> {
        match self.store.read(&intent_name(service)).await {
            ReadReply::Found { content, version } => Ok((Some(content), version)),
            ReadReply::Absent => Ok((None, 0)),
            ReadReply::Unavailable => Err(PlanServiceError::StoreUnavailable),
        }
    }

    /// Lists a team's plans and removes expired ones of all teams.
    ///
    /// # Errors
    ///
    /// Returns an error when the store does not respond.
    pub async fn list(&self, member: &TeamMember) -> Result<Vec<ChangePlan>, PlanServiceError> {
        let batch =
            self.store.list("plans/").await.map_err(|_| PlanServiceError::StoreUnavailable)?;
        let now = self.state.clock.now();
        let mut plans = Vec::new();
        for object in batch.changes {
            let plan =
                object.content.and_then(|text| serde_json::from_str::<ChangePlan>(&text).ok());
            match plan {
                Some(plan) if now.since(plan.created) > PLAN_LIFETIME => {
                    self.store.delete(&object.name, object.version).await;
                }
                Some(plan) if plan.intent.team == member.team => plans.push(plan),
                _ => {}
            }
        }
        Ok(plans)
    }

    /// Confirms a plan. Confirming it again is safe and has the same outcome.
    ///
    /// # Errors
    ///
    /// Returns an error when the plan is not found, belongs to another team or cannot be
    /// read.
    pub async fn confirm(
        &self,
        member: &TeamMember,
        identity: PlanIdentity,
    ) -> Result<ConfirmOutcome, PlanServiceError> {
        let mut plan: Box<ChangePlan> = match self.store.read(&plan_name(identity)).await {
            ReadReply::Found { content, .. } => content,
            ReadReply::Absent => return Err(PlanServiceError::PlanNotFound),
            ReadReply::Unavailable => return Err(PlanServiceError::StoreUnavailable),
        };
        if plan.intent.team != member.team {
            let service = plan.intent.service.clone();
            return Err(PlanServiceError::WrongTeam { service, team: member.team.clone() });
        }
        plan.author.clone_from(&member.author);
        let (service, author) = (plan.intent.service.clone(), member.author.clone());
        let era = self.store.era();
        let floor = self.propagation.version_floor(&service).await.unwrap_or_default().in_era(era);
        let outcome = self.run_confirmation(PlansMessage::Confirm(plan, floor), era).await;
        log::info!(
            plan = identity.to_string().as_str(), service = service.as_str(),
            author = author.as_str();
            "confirmation ended: {outcome:?}"
        );
        Ok(outcome)
    }

    /// Runs a confirmation until its outcome is known. The plan is written only while the store
    /// is in `era`, from which its version is computed.
    async fn run_confirmation(&self, first_message: PlansMessage, era: StoreEra) -> ConfirmOutcome {
        let mut controller = PlansController::default();
        let mut message = first_message;
        loop {
            let effects = controller.handle(message, self.state.clock.now());
            message = match effects.into_iter().next() {
                Some(PlansEffect::Read { plan, service, delay }) => {
                    tokio::time::sleep(delay).await;
                    PlansMessage::Read(plan, self.store.read(&intent_name(&service)).await)
                }
                Some(PlansEffect::Write { plan, content, base_version }) => {
                    let name = intent_name(&content.intent.service);
                    let (_, reply) =
                        self.store.write_in_era(&name, &content, era, base_version).await;
                    if let WriteReply::Written(version) = reply {
                        // Distributes the change to all entries even if no watch delivers it.
                        let version = content.version_in_force(version);
                        let intent = content.intent;
                        self.propagation.send(IntentsMessage::Accepted { intent, version }).await;
                    }
                    PlansMessage::Wrote(plan, reply)
                }
                Some(PlansEffect::Finish(_, outcome)) => return outcome,
                None => return ConfirmOutcome::Unknown,
            };
        }
    }
}

fn plan_name(plan: PlanIdentity) -> String {
    format!("plans/{plan}")
}

/// Checks an intent against the rules for settings files.
fn check_intent(intent: &ServiceIntent) -> Result<(), PlanServiceError> {
    let mut violations = ViolationList::default();
    intent.check("", &mut violations);
    let violations = violations.into_violations();
    if violations.is_empty() { Ok(()) } else { Err(PlanServiceError::Violations { violations }) }
}
