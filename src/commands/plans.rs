//! `zinniaport intent`, `zinniaport plan` and `zinniaport confirm`: changes to services.

use std::fmt::Write;
use std::path::{Path, PathBuf};
use std::process::ExitCode;

use clap::Args;
use http::Method;
use serde_json::Value;
use zinniaport_core::intent::ServiceIntent;
use zinniaport_core::plan::{ChangePlan, IntentStatement, PlannedChange};

use super::team_access::{EXIT_CODES, TeamAccess};

/// Arguments of `zinniaport intent`.
#[derive(Debug, Args)]
#[command(after_help = format!(
    "Example: zinniaport intent --admin 10.0.0.7:7902 --file visit-ledger.yaml\n\n{EXIT_CODES}"
))]
pub struct IntentArguments {
    #[command(flatten)]
    access: TeamAccess,
    /// YAML file with the intent of a service.
    #[arg(long, value_name = "FILE", required_unless_present = "show")]
    file: Option<PathBuf>,
    /// Prints the current intent of this service as YAML, for editing.
    #[arg(long, value_name = "SERVICE", conflicts_with = "file")]
    show: Option<String>,
    /// Allows a plan that leaves fewer slots than the current load needs.
    #[arg(long)]
    allow_below_load: bool,
}

impl IntentArguments {
    /// Submits the intent and prints the resulting plan, or prints the current intent with
    /// `--show`.
    pub async fn run(self) -> ExitCode {
        let Some(file) = &self.file else {
            let path = format!("/v1/services/{}/intent", self.show.unwrap_or_default());
            return self.access.call(Method::GET, &path, Vec::new(), describe_intent).await;
        };
        let intent = match read_intent(file) {
            Ok(intent) => intent,
            Err(error) => {
                eprintln!("{error}");
                return ExitCode::from(2);
            }
        };
        let path = format!("/v1/services/{}/intent", intent.service);
        let statement = IntentStatement { intent, allow_below_load: self.allow_below_load };
        let body = serde_json::to_vec(&statement).unwrap_or_default();
        self.access.call(Method::POST, &path, body, describe_plan).await
    }
}

fn read_intent(path: &Path) -> Result<ServiceIntent, String> {
    let text = std::fs::read_to_string(path).map_err(|error| {
        format!("cannot read {}: {error}; give --file a readable file", path.display())
    })?;
    serde_norway::from_str(&text)
        .map_err(|error| format!("cannot parse {}: {error}; correct the file", path.display()))
}

/// Arguments of `zinniaport plan`.
#[derive(Debug, Args)]
#[command(after_help = format!("Example: zinniaport plan --admin 10.0.0.7:7902\n\n{EXIT_CODES}"))]
pub struct PlanArguments {
    #[command(flatten)]
    access: TeamAccess,
}

impl PlanArguments {
    /// Prints the team's plans that await confirmation.
    pub async fn run(self) -> ExitCode {
        self.access.call(Method::GET, "/v1/plans", Vec::new(), describe_plans).await
    }
}

/// Arguments of `zinniaport confirm`.
#[derive(Debug, Args)]
#[command(after_help = format!(
    "Confirming a plan again is safe: it is applied at most once.\n\
     Example: zinniaport confirm --admin 10.0.0.7:7902 0123456789abcdef0123456789abcdef\n\n\
     {EXIT_CODES}"
))]
pub struct ConfirmArguments {
    #[command(flatten)]
    access: TeamAccess,
    /// Identity of the plan, as printed by `zinniaport intent`.
    plan: String,
}

impl ConfirmArguments {
    /// Confirms the plan and prints the outcome.
    pub async fn run(self) -> ExitCode {
        let path = format!("/v1/plans/{}/confirm", self.plan);
        self.access.call(Method::POST, &path, Vec::new(), describe_outcome).await
    }
}

fn describe_intent(body: &[u8]) -> Option<String> {
    let intent: ServiceIntent = serde_json::from_slice(body).ok()?;
    serde_norway::to_string(&intent).ok()
}

/// Formats a plan with its changes, effects on capacity and risks.
fn describe_plan(body: &[u8]) -> Option<String> {
    let plan: ChangePlan = serde_json::from_slice(body).ok()?;
    let mut text = format!(
        "plan {} by {}\n{} from version {}\n",
        plan.identity, plan.author, plan.intent.service, plan.base_version
    );
    for (position, change) in plan.changes.iter().enumerate() {
        let _ = writeln!(text, "{:>3}. {}", position + 1, describe_change(change));
    }
    for effect in &plan.capacity {
        let _ = writeln!(
            text,
            "slots in {}: {} -> {}",
            effect.data_centre, effect.slots_before, effect.slots_after
        );
    }
    for risk in &plan.risks {
        let _ = writeln!(text, "risk: {risk}");
    }
    let _ = write!(text, "to apply it: zinniaport confirm {}", plan.identity);
    Some(text)
}

fn describe_change(change: &PlannedChange) -> String {
    let before = change.before.as_deref().unwrap_or("none");
    let after = change.after.as_deref().unwrap_or("none");
    format!("{} {}: {before} -> {after}", change.action, change.subject)
}

fn describe_plans(body: &[u8]) -> Option<String> {
    let plans: Vec<Value> = serde_json::from_slice(body).ok()?;
    let texts: Vec<_> =
        plans.iter().filter_map(|plan| describe_plan(&serde_json::to_vec(plan).ok()?)).collect();
    Some(if texts.is_empty() {
        "no plans await confirmation".to_owned()
    } else {
        texts.join("\n\n")
    })
}

/// Formats the outcome of a confirmation (`ConfirmOutcome` as JSON).
fn describe_outcome(body: &[u8]) -> Option<String> {
    let outcome: Value = serde_json::from_slice(body).ok()?;
    let version = outcome.get("version").and_then(Value::as_u64).unwrap_or_default();
    match outcome.get("outcome")?.as_str()? {
        "applied" => Some(format!("applied; the intent is at version {version}")),
        "outdated" => {
            let author = outcome.get("author")?.as_str()?;
            let mut text = format!("not applied: {author} changed the intent to version {version}");
            let changes: Vec<PlannedChange> =
                serde_json::from_value(outcome.get("changes")?.clone()).ok()?;
            for change in &changes {
                let _ = write!(text, "\n  {}", describe_change(change));
            }
            text.push_str("\nsubmit the intent again to get a plan for this version");
            Some(text)
        }
        "not-applied" => {
            Some("not applied: the store did not accept the change; confirm again later".to_owned())
        }
        _ => Some("unknown whether it was applied; confirm again, which is safe".to_owned()),
    }
}
