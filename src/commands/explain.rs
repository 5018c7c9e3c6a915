//! `zinniaport explain`: the decisions that an entry made about a request.

use std::process::ExitCode;

use clap::Args;
use zinniaport_core::decision::Explanation;

use super::client::fetch;
use super::output::{AdminArguments, EXIT_CODES, RowColour, TextTable, wrap_text};
use crate::admin::percent_encode;

/// Arguments of `zinniaport explain`.
#[derive(Debug, Args)]
#[command(after_help = format!(
    "Example: zinniaport explain 0190163d-8694-739b-aea5-966c26f8ad91 --admin 127.0.0.1:7901\n\n{EXIT_CODES}"
))]
pub struct ExplainArguments {
    /// Request ID, from the X-Request-Id header of the response.
    #[arg(value_name = "REQUEST_ID")]
    request_id: String,
    /// Explain why the request was served after the request with this ID.
    #[arg(long, value_name = "OTHER_ID")]
    why_after: Option<String>,
    #[command(flatten)]
    admin: AdminArguments,
}

impl ExplainArguments {
    /// Fetches the explanation and prints it as a sentence and a table.
    pub async fn run(self) -> ExitCode {
        let mut path = format!("/v1/explain/{}", percent_encode(&self.request_id));
        if let Some(other) = &self.why_after {
            path.push_str(&format!("?why_after={}", percent_encode(other)));
        }
        let response = fetch::<Explanation>(self.admin.admin, &path).await;
        self.admin.print(response, explanation_text)
    }
}

/// Formats an explanation as a sentence, the rules that applied and a table of facts.
pub fn explanation_text(explanation: &Explanation) -> String {
    let mut headings = vec!["fact"];
    headings.extend(explanation.columns.iter().map(String::as_str));
    let mut table = TextTable::new(&headings);
    for row in &explanation.rows {
        let mut cells = vec![row.name.clone()];
        cells.extend(row.values.iter().cloned());
        table.add(RowColour::Plain, cells);
    }
    format!("{}rule: {}\n\n{table}", wrap_text(&explanation.sentence), explanation.rules.join(", "))
}
