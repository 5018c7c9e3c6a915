//! `zinniaport status`: services and targets as an entry sees them.

use std::process::ExitCode;

use clap::Args;
use zinniaport_core::fleet::TargetState;

use super::client::fetch;
use super::output::{AdminArguments, EXIT_CODES, RowColour, TextTable, format_age};
use crate::admin::{EntryStatus, ServiceStatus};

/// Arguments of `zinniaport status`.
#[derive(Debug, Args)]
#[command(after_help = format!("Example: zinniaport status --admin 127.0.0.1:7901\n\n{EXIT_CODES}"))]
pub struct StatusArguments {
    #[command(flatten)]
    admin: AdminArguments,
}

impl StatusArguments {
    /// Fetches the status of the entry and prints its services and targets.
    pub async fn run(self) -> ExitCode {
        let response = fetch::<EntryStatus>(self.admin.admin, "/v1/status").await;
        self.admin.print(response, status_text)
    }
}

/// Formats a table of services, followed by a table of targets for each service.
fn status_text(status: &EntryStatus) -> String {
    let now = status.taken.0;
    let mut text = format!(
        "entry {} in {}, as of now; last change of services or targets {} ago\n\n",
        status.entry,
        status.data_centre,
        format_age(now, status.changed.0),
    );
    let mut services =
        TextTable::new(&["service", "team", "version", "targets", "open", "in flight"]);
    for service in &status.services {
        let available =
            service.targets.iter().filter(|target| target.state.takes_requests()).count();
        let colour = if available == 0 { RowColour::Red } else { RowColour::Plain };
        let cells = [
            service.service.clone(),
            service.team.clone(),
            service.version.to_string(),
            service.targets.len().to_string(),
            available.to_string(),
            service.in_flight.to_string(),
        ];
        services.add(colour, cells.into());
    }
    text.push_str(&services.to_string());
    for service in &status.services {
        text.push_str(&format!("\n{}\n{}", service.service, target_table(service, now)));
    }
    text
}

fn target_table(service: &ServiceStatus, now: u64) -> TextTable {
    let headings = ["target", "centre", "state", "reason", "for", "busy/slots", "load", "reported"];
    let mut table = TextTable::new(&headings);
    for target in &service.targets {
        let load = target.reported_load.map(|load| load.to_string());
        let report_age = target.reported_load.map(|_| format_age(now, target.reported_at.0));
        let cells = [
            target.address.clone(),
            target.data_centre.clone(),
            target.state.to_string(),
            target.reason.clone(),
            format_age(now, target.since.0),
            format!("{}/{}", target.in_flight, target.slots),
            load.unwrap_or_else(|| "-".to_owned()),
            report_age.map_or_else(|| "-".to_owned(), |age| format!("{age} ago")),
        ];
        table.add(target_colour(target.state), cells.into());
    }
    table
}

fn target_colour(state: TargetState) -> RowColour {
    match state {
        TargetState::Serving => RowColour::Plain,
        TargetState::Starting | TargetState::Draining | TargetState::Leaving => RowColour::Yellow,
        TargetState::Ejected => RowColour::Red,
    }
}
