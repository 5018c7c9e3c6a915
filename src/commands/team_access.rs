//! Calls to an entry on behalf of a team.

use std::path::PathBuf;
use std::process::ExitCode;
use std::time::Duration;

use clap::Args;
use http::{Method, StatusCode};

use super::client::{AdminCall, call};
use super::output::{AdminArguments, OutputFormat};

/// Environment variable with the token, used without `--token-file`.
const TOKEN_VARIABLE: &str = "ZINNIAPORT_TOKEN";

/// Time limit of a call. A confirmation tries the store for about 15 s.
const CALL_LIMIT: Duration = Duration::from_secs(30);

/// Exit codes, shown in the help of each command.
pub(super) const EXIT_CODES: &str = "Exit codes: 0 done; 1 the entry or its store gave no \
    answer, repeat the command; 2 the input is not valid; 3 the plan is outdated or unknown; \
    4 the token does not allow it";

/// Which entry to ask, and as whom.
#[derive(Debug, Args)]
pub(super) struct TeamAccess {
    #[command(flatten)]
    admin: AdminArguments,
    /// File with the team's token; without it the variable `ZINNIAPORT_TOKEN` is used.
    #[arg(long, value_name = "FILE")]
    token_file: Option<PathBuf>,
}

impl TeamAccess {
    /// Calls the entry and prints the answer, through `describe` as text.
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
        let request = AdminCall { method, path, body, token: Some(&token), limit: CALL_LIMIT };
        match call(self.admin.admin, request).await {
            Ok((status, body)) => {
                self.print(status, &body, describe);
                exit_code(status)
            }
            Err(error) => {
                eprintln!("{error}; then repeat the command");
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

    fn token(&self) -> Result<String, String> {
        let token = match &self.token_file {
            Some(path) => std::fs::read_to_string(path).map_err(|error| {
                format!("cannot read {}: {error}; give a readable file", path.display())
            })?,
            None => std::env::var(TOKEN_VARIABLE)
                .map_err(|_| format!("no token; give --token-file or set {TOKEN_VARIABLE}"))?,
        };
        Ok(token.trim().to_owned())
    }
}

fn exit_code(status: StatusCode) -> ExitCode {
    match status {
        status if status.is_success() => ExitCode::SUCCESS,
        StatusCode::BAD_REQUEST | StatusCode::UNPROCESSABLE_ENTITY => ExitCode::from(2),
        StatusCode::CONFLICT | StatusCode::NOT_FOUND => ExitCode::from(3),
        StatusCode::UNAUTHORIZED | StatusCode::FORBIDDEN => ExitCode::from(4),
        _ => ExitCode::FAILURE,
    }
}
