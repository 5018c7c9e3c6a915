//! `/v1/services/NAME/intent`, `/v1/plans` and `/v1/plans/ID/confirm`.

use std::sync::Arc;

use futures::future::BoxFuture;
use http::{Method, StatusCode};
use serde::Serialize;
use zinniaport_core::controllers::ConfirmOutcome;
use zinniaport_core::plan::{IntentStatement, PlanIdentity};

use super::access::{TeamMember, TokenRegistry};
use super::plan_service::{PlanService, PlanServiceError};
use super::{AdminHandler, AdminRequest, AdminResponse, json_response};

/// Longest name of a service, in bytes. It is part of object names and URL paths.
const MAX_SERVICE_NAME_BYTES: usize = 64;

/// A refusal of an administration request, with a message that includes the remedy.
struct AdminRefusal {
    status: StatusCode,
    error: String,
}

#[derive(Serialize)]
struct RefusalBody<'a> {
    error: &'a str,
}

impl AdminRefusal {
    fn response(&self) -> AdminResponse {
        json_response(self.status, &RefusalBody { error: &self.error })
    }
}

fn refuse(status: StatusCode, error: impl Into<String>) -> AdminRefusal {
    AdminRefusal { status, error: error.into() }
}

impl From<PlanServiceError> for AdminRefusal {
    fn from(error: PlanServiceError) -> Self {
        let status = match error {
            PlanServiceError::Plan(_) | PlanServiceError::Violations { .. } => {
                StatusCode::UNPROCESSABLE_ENTITY
            }
            PlanServiceError::WrongTeam { .. } => StatusCode::FORBIDDEN,
            PlanServiceError::PlanNotFound | PlanServiceError::IntentNotFound => {
                StatusCode::NOT_FOUND
            }
            PlanServiceError::StoreUnavailable => StatusCode::SERVICE_UNAVAILABLE,
        };
        refuse(status, error.to_string())
    }
}

/// Serves requests of authenticated team members about intents and plans.
pub struct PlanApi {
    service: PlanService,
    tokens: TokenRegistry,
}

impl PlanApi {
    /// Creates the handlers of all paths about intents and plans.
    pub fn handlers(service: PlanService, tokens: TokenRegistry) -> Vec<Arc<dyn AdminHandler>> {
        let api = Arc::new(Self { service, tokens });
        vec![Arc::new(IntentHandler(api.clone())), Arc::new(PlansHandler(api))]
    }

    fn authenticate(&self, request: &AdminRequest) -> Result<TeamMember, AdminRefusal> {
        self.tokens.authenticate(request.headers()).ok_or_else(|| {
            let error = "no known token; send Authorization: Bearer TOKEN with your team's token";
            refuse(StatusCode::UNAUTHORIZED, error)
        })
    }

    async fn handle_intent(&self, request: &AdminRequest) -> Result<AdminResponse, AdminRefusal> {
        let path: Vec<_> = request.uri().path().split('/').skip(3).collect();
        let [service, "intent"] = path[..] else { return Err(unknown_path()) };
        let member = self.authenticate(request)?;
        if request.method() == Method::GET {
            let intent = self.service.read_intent(&member, service).await?;
            return Ok(json_response(StatusCode::OK, &intent));
        }
        require_method(request, &Method::POST)?;
        let statement: IntentStatement =
            serde_json::from_slice(request.body()).map_err(|error| {
                let error = format!("cannot read the statement: {error}; correct this field");
                refuse(StatusCode::BAD_REQUEST, error)
            })?;
        if statement.intent.service != service || !is_service_name(service) {
            let error = format!(
                "the path names {service:?} and the intent {:?}; use one name of 1 to \
                 {MAX_SERVICE_NAME_BYTES} lower-case letters, digits and hyphens",
                statement.intent.service
            );
            return Err(refuse(StatusCode::BAD_REQUEST, error));
        }
        let plan = self.service.draft(&member, statement).await?;
        Ok(json_response(StatusCode::CREATED, &plan))
    }

    async fn handle_plans(&self, request: &AdminRequest) -> Result<AdminResponse, AdminRefusal> {
        let path: Vec<_> = request.uri().path().split('/').skip(3).collect();
        match path[..] {
            [] => {
                require_method(request, &Method::GET)?;
                let member = self.authenticate(request)?;
                let plans = self.service.list(&member).await?;
                Ok(json_response(StatusCode::OK, &plans))
            }
            [identity, "confirm"] => {
                require_method(request, &Method::POST)?;
                let member = self.authenticate(request)?;
                let identity: PlanIdentity = identity
                    .parse()
                    .map_err(|error| refuse(StatusCode::BAD_REQUEST, format!("{error}")))?;
                let outcome = self.service.confirm(&member, identity).await?;
                Ok(json_response(status_of(&outcome), &outcome))
            }
            _ => Err(unknown_path()),
        }
    }
}

fn status_of(outcome: &ConfirmOutcome) -> StatusCode {
    match outcome {
        ConfirmOutcome::Applied { .. } => StatusCode::OK,
        ConfirmOutcome::Outdated { .. } => StatusCode::CONFLICT,
        ConfirmOutcome::NotApplied => StatusCode::SERVICE_UNAVAILABLE,
        ConfirmOutcome::Unknown => StatusCode::GATEWAY_TIMEOUT,
    }
}

fn is_service_name(name: &str) -> bool {
    (1..=MAX_SERVICE_NAME_BYTES).contains(&name.len())
        && name.bytes().all(|b| b.is_ascii_lowercase() || b.is_ascii_digit() || b == b'-')
}

fn unknown_path() -> AdminRefusal {
    refuse(StatusCode::NOT_FOUND, "unknown path; see docs/OPERATORS.md for the paths")
}

fn require_method(request: &AdminRequest, method: &Method) -> Result<(), AdminRefusal> {
    if request.method() == method {
        return Ok(());
    }
    Err(refuse(StatusCode::METHOD_NOT_ALLOWED, format!("use {method} for this path")))
}

/// Returns the intent in force, and drafts a plan from a stated one.
struct IntentHandler(Arc<PlanApi>);

impl AdminHandler for IntentHandler {
    fn path(&self) -> &'static str {
        "/v1/services"
    }

    fn handle<'a>(&'a self, request: &'a AdminRequest) -> BoxFuture<'a, AdminResponse> {
        Box::pin(async {
            self.0.handle_intent(request).await.unwrap_or_else(|refusal| refusal.response())
        })
    }
}

/// Lists and confirms plans.
struct PlansHandler(Arc<PlanApi>);

impl AdminHandler for PlansHandler {
    fn path(&self) -> &'static str {
        "/v1/plans"
    }

    fn handle<'a>(&'a self, request: &'a AdminRequest) -> BoxFuture<'a, AdminResponse> {
        Box::pin(async {
            self.0.handle_plans(request).await.unwrap_or_else(|refusal| refusal.response())
        })
    }
}
