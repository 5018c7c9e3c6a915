//! Authenticated calls to the administration API of an entry on behalf of a team.

use std::path::PathBuf;
use std::process::ExitCode;
use std::time::Duration;

use clap::Args;
use http::{Method, StatusCode};

use super::client::{AdminCall, call};
use super::output::{AdminArguments, OutputFormat};

/// Environment variable that holds the token if `--token-file` is not given.
const TOKEN_VARIABLE: &str = "ZINNIAPORT_TOKEN";

/// Time limit of a call. An entry retries the store for about 15 s to confirm a plan.
const CALL_TIMEOUT: Duration = Duration::from_secs(30);

/// Exit codes, shown in the help of each command that uses [`TeamAccess`].
pub(super) const EXIT_CODES: &str = "Exit codes: 0 success; 1 no response from the entry or its \
    store, repeat the command; 2 invalid input; 3 the plan is outdated or unknown; 4 the token \
    is unknown or does not allow the operation";

/// Arguments that select an entry and the token of a team.
#[derive(Debug, Args)]
pub(super) struct TeamAccess {
    #[command(flatten)]
    admin: AdminArguments,
    /// File that holds the team's token; the default is the variable `ZINNIAPORT_TOKEN`.
    #[arg(long, value_name = "FILE")]
    token_file: Option<PathBuf>,
}

impl TeamAccess {
    /// Calls the entry, prints the response and returns the exit code. `describe` formats the
    /// body as text and returns `None` for a body of another form, such as an error; JSON output
    /// prints the body unchanged.
    pub(super) async fn call(
        &self,
        method: Method,
        path: &str,
        body: Vec<u8>,
        describe: impl Fn(&[u8]) -> Option<String>,
    ) -> ExitCode {
        let token = match self.token() {
            Ok(token) => token,
            Err(error) => {
                eprintln!("{error}");
                return ExitCode::from(2);
            }
        };
        let request =
            AdminCall { method, path, body, token: Some(&token), time_limit: CALL_TIMEOUT };
        match call(self.admin.admin, request).await {
            Ok((status, body)) => {
                self.print(status, &body, describe);
                exit_code(status)
            }
            Err(error) => {
                eprintln!("{error}, and repeat the command");
                ExitCode::FAILURE
            }
        }
    }

    fn print(&self, status: StatusCode, body: &[u8], describe: impl Fn(&[u8]) -> Option<String>) {
        let text = String::from_utf8_lossy(body);
        if self.admin.output == OutputFormat::Json {
            println!("{text}");
            return;
        }
        match describe(body) {
            Some(description) => println!("{description}"),
            None => {
                let problem: Option<serde_json::Value> = serde_json::from_slice(body).ok();
                let error = problem.as_ref().and_then(|problem| problem.get("error")?.as_str());
                eprintln!("{status}: {}", error.unwrap_or(&text));
            }
        }
    }

    /// Reads the token from the file or the environment.
    fn token(&self) -> Result<String, String> {
        let token = match &self.token_file {
            Some(path) => std::fs::read_to_string(path).map_err(|error| {
                format!(
                    "cannot read the token file {}: {error}; give --token-file a readable file",
                    path.display()
                )
            })?,
            None => std::env::var(TOKEN_VARIABLE)
                .map_err(|_| format!("no token given; use --token-file or set {TOKEN_VARIABLE}"))?,
        };
        Ok(token.trim().to_owned())
    }
}

/// Returns the exit code for the status of a response (see [`EXIT_CODES`]).
fn exit_code(status: StatusCode) -> ExitCode {
    match status {
        status if status.is_success() => ExitCode::SUCCESS,
        StatusCode::BAD_REQUEST | StatusCode::UNPROCESSABLE_ENTITY => ExitCode::from(2),
        StatusCode::CONFLICT | StatusCode::NOT_FOUND => ExitCode::from(3),
        StatusCode::UNAUTHORIZED | StatusCode::FORBIDDEN => ExitCode::from(4),
        _ => ExitCode::FAILURE,
    }
}
