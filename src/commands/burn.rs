//! `zinniaport burn`: how fast services use up their error budgets.

use std::path::PathBuf;
use std::process::ExitCode;

use clap::Args;
use zinniaport_core::burn::{BurnReport, KindBurn, WindowBurn};

use super::burn_page::burn_page;
use super::client::fetch;
use super::output::{AdminArguments, EXIT_CODES, RowColour, TextTable};

/// Arguments of `zinniaport burn`.
#[derive(Debug, Args)]
#[command(after_help = format!(
    "Example: zinniaport burn --admin 127.0.0.1:7901 --html burn.html\n\n\
     A burn rate of 1 uses up exactly the error budget of the objective.\n\n{EXIT_CODES}"
))]
pub struct BurnArguments {
    #[command(flatten)]
    admin: AdminArguments,
    /// Also write a self-contained HTML page with a chart.
    #[arg(long, value_name = "FILE")]
    html: Option<PathBuf>,
}

impl BurnArguments {
    /// Fetches the burn report, prints it and writes the HTML page if one is requested.
    pub async fn run(self) -> ExitCode {
        let response = fetch::<BurnReport>(self.admin.admin, "/v1/burn").await;
        if let (Ok(report), Some(path)) = (&response, &self.html)
            && let Err(cause) = burn_page(report)
                .and_then(|page| std::fs::write(path, page).map_err(|error| error.to_string()))
        {
            eprintln!("cannot write {}: {cause}; give --html a writable path", path.display());
            return ExitCode::FAILURE;
        }
        self.admin.print(response, burn_text)
    }
}

/// Formats the burn of each kind and window, and the measuring cost of each service.
fn burn_text(report: &BurnReport) -> String {
    let headings =
        ["service", "kind", "goal", "window", "requests", "failed", "burn", "left", "causes"];
    let mut table = TextTable::new(&headings);
    let mut measuring = TextTable::new(&["service", "measuring spent", "measuring allowed"]);
    let mut last_service = "";
    for kind in &report.kinds {
        for window in &kind.windows {
            table.add(window_colour(window), window_cells(kind, window));
        }
        if kind.service != last_service {
            let spent = format!("{:.2} %", kind.measuring_spent_percent);
            let allowed = format!("{:.2} %", kind.measuring_allowed_percent);
            measuring.add(RowColour::Plain, vec![kind.service.clone(), spent, allowed]);
            last_service = &kind.service;
        }
    }
    let lost = match report.lost {
        0 => String::new(),
        lost => format!("{lost} requests are missing: their records were overwritten\n"),
    };
    let entries = match (report.answered, report.entries) {
        (_, 0..=1) => String::new(),
        (answered, entries) => format!("counted at {answered} of {entries} entries\n"),
    };
    format!("{table}\n{measuring}{entries}{lost}")
}

fn window_cells(kind: &KindBurn, window: &WindowBurn) -> Vec<String> {
    let causes = window.causes.iter().map(|cause| format!("{} {}", cause.reason, cause.failed));
    vec![
        kind.service.clone(),
        kind.kind.clone(),
        format!("{}%", kind.objective_percent),
        window.window.clone(),
        window.requests.to_string(),
        window.failed.to_string(),
        format!("{:.2}", window.burn_rate),
        format!("{:.0}%", window.budget_left_percent),
        causes.collect::<Vec<_>>().join(", "),
    ]
}

fn window_colour(window: &WindowBurn) -> RowColour {
    if window.burn_rate > 1.0 {
        RowColour::Red
    } else if window.burn_rate > 0.5 {
        RowColour::Yellow
    } else {
        RowColour::Plain
    }
}
