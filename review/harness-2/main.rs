//! Runs one case of the review: starts entries with the commands of the deploy file, beside
//! stand-ins of the platform's store, of servers and of requesters, and checks one rule.
//!
//! Usage: `review-2 CASE FOLDER`, at the root of the repository. Exits with 1 if the rule was
//! broken, 0 if it held, and 2 if the case could not run. With `TROUBLE=0` in the environment the
//! disruption is left out. Everything that was sent, answered and run is in `FOLDER/record.txt`.

mod case_poison;
mod case_quota;
mod case_silence;
mod case_stop;
mod case_tenant;
mod entries;
mod http;
mod manifest;
mod record;
mod requester;
mod server;
mod store;
mod template;

use std::path::PathBuf;
use std::process::exit;
use std::thread;
use std::time::Duration;

use record::Record;

/// Time after which a case is given up. A case may take 120 s.
const LIMIT: Duration = Duration::from_secs(110);

/// Result of a case: whether the rule held, and a line that says what was seen.
pub type Verdict = Result<(bool, String), String>;

fn main() {
    let arguments: Vec<String> = std::env::args().collect();
    let [_, case, folder] = &arguments[..] else {
        eprintln!("usage: review-2 CASE FOLDER");
        exit(2);
    };
    let trouble = std::env::var("TROUBLE").map_or(true, |value| value != "0");
    let record = Record::create(&PathBuf::from(folder).join("record.txt"));
    let watch = record.clone();
    thread::spawn(move || {
        thread::sleep(LIMIT);
        watch.line("given up: the case took too long");
        entries::end_all();
        exit(2);
    });
    let (name, run_record) = (case.clone(), record.clone());
    let run = thread::spawn(move || -> Verdict {
        match &*name {
            "poison" => case_poison::run(&run_record, trouble),
            "quota" => case_quota::run(&run_record, trouble),
            "silence" => case_silence::run(&run_record, trouble),
            "stop" => case_stop::run(&run_record, trouble),
            "tenant" => case_tenant::run(&run_record, trouble),
            _ => Err(format!("no case is named {name}")),
        }
    });
    let verdict = run.join().unwrap_or_else(|_| Err("the case panicked".to_owned()));
    entries::end_all();
    let (code, text) = match verdict {
        Ok((true, text)) => (0, format!("the rule held: {text}")),
        Ok((false, text)) => (1, format!("the rule was broken: {text}")),
        Err(cause) => (2, format!("the case could not run: {cause}")),
    };
    record.line(&text);
    println!("{case}, trouble {}: {text}", u8::from(trouble));
    exit(code);
}
