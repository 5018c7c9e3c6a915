//! HTTP client of the commands that talk to an entry.

use std::net::SocketAddr;
use std::path::PathBuf;
use std::process::ExitCode;
use std::time::Duration;

use bytes::Bytes;
use clap::{Args, ValueEnum};
use http::{Method, Request, StatusCode, header};
use http_body_util::{BodyExt, Full};
use hyper::client::conn::http1;
use hyper_util::rt::TokioIo;
use tokio::net::TcpStream;

/// Environment variable with the token, used without `--token-file`.
const TOKEN_VARIABLE: &str = "ZINNIAPORT_TOKEN";

/// Time limit of a call. A confirmation tries the store for about 15 s.
const CALL_LIMIT: Duration = Duration::from_secs(30);

/// Exit codes, shown in the help of each command.
pub(super) const EXIT_CODES: &str = "Exit codes: 0 done; 1 the entry or its store gave no \
    answer, repeat the command; 2 the input is not valid; 3 the plan is outdated or unknown; \
    4 the token does not allow it";

/// Form of the output.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq, ValueEnum)]
pub(super) enum OutputForm {
    /// Lines for people.
    #[default]
    Text,
    /// JSON as the entry answered it.
    Json,
}

/// Which entry to ask, and as whom.
#[derive(Debug, Args)]
pub(super) struct EntryAccess {
    /// Administration address of any entry.
    #[arg(long, value_name = "ADDRESS")]
    entry: SocketAddr,
    /// File with the team's token; without it the variable `ZINNIAPORT_TOKEN` is used.
    #[arg(long, value_name = "FILE")]
    token_file: Option<PathBuf>,
    /// Form of the output.
    #[arg(long, value_enum, default_value_t)]
    output: OutputForm,
}

impl EntryAccess {
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
        let call = self.send(method, path, body, &token);
        let answer = tokio::time::timeout(CALL_LIMIT, call).await;
        let (status, body) = match answer {
            Ok(Ok(answer)) => answer,
            Ok(Err(error)) => {
                eprintln!("no answer from {}: {error}; check --entry and repeat", self.entry);
                return ExitCode::FAILURE;
            }
            Err(_) => {
                eprintln!("no answer from {} in time; repeat the command", self.entry);
                return ExitCode::FAILURE;
            }
        };
        self.print(status, &body, describe);
        exit_code(status)
    }

    fn print(&self, status: StatusCode, body: &[u8], describe: impl Fn(&[u8]) -> Option<String>) {
        let text = String::from_utf8_lossy(body);
        if self.output == OutputForm::Json {
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

    async fn send(
        &self,
        method: Method,
        path: &str,
        body: Vec<u8>,
        token: &str,
    ) -> Result<(StatusCode, Bytes), Box<dyn std::error::Error + Send + Sync>> {
        let stream = TcpStream::connect(self.entry).await?;
        let (mut sender, connection) = http1::handshake(TokioIo::new(stream)).await?;
        tokio::spawn(connection);
        let request = Request::builder()
            .method(method)
            .uri(path)
            .header(header::HOST, self.entry.to_string())
            .header(header::AUTHORIZATION, format!("Bearer {token}"))
            .body(Full::new(Bytes::from(body)))?;
        let response = sender.send_request(request).await?;
        let status = response.status();
        Ok((status, response.into_body().collect().await?.to_bytes()))
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
