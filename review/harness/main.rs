//! Stand-ins and checks for the cases in `review/`. Only the standard library is used.
//!
//! One process plays the platform's store, the servers, the requesters and the operator, as
//! the users' pages describe them. The entries are the project's own program, started as
//! separate processes with the command and the settings template of `deploy/`.

mod case_gone;
mod case_poison;
mod case_quarantine;
mod case_seeds;
mod case_unreadable;
mod entries;
mod http;
mod json;
mod requester;
mod server;
mod store;
mod world;

use std::process::ExitCode;

fn main() -> ExitCode {
    let mut arguments = std::env::args().skip(1);
    let case = arguments.next().unwrap_or_default();
    let record = arguments.next().unwrap_or_else(|| "record.txt".to_owned());
    let trouble = std::env::var("TROUBLE").map_or(true, |value| value != "0");
    world::open_record(&record);
    let result = match case.as_str() {
        "quarantine" => case_quarantine::run(trouble),
        "unreadable" => case_unreadable::run(trouble),
        "seeds" => case_seeds::run(trouble),
        "poison" => case_poison::run(trouble),
        "gone" => case_gone::run(trouble),
        _ => Err(format!("unknown case {case:?}")),
    };
    let code = match result {
        Ok(true) => {
            world::note("verdict: the rule was broken");
            1
        }
        Ok(false) => {
            world::note("verdict: the rule held");
            0
        }
        Err(cause) => {
            world::note(&format!("verdict: the case could not run: {cause}"));
            2
        }
    };
    world::close_record();
    ExitCode::from(code)
}
