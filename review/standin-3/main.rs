//! Cases of the third review that are shown by scripts: `standin-3 CASE PROGRAM FOLDER RECORD`.
//!
//! Exits with 1 if the rule was broken, with 0 if it held, and with 2 if the case could not run.

mod cases;
mod http;
mod json;
mod record;
mod runner;
mod site;
mod store;

use std::sync::Arc;

fn main() {
    let arguments: Vec<String> = std::env::args().collect();
    let [_, case, program, folder, record] = arguments.as_slice() else {
        eprintln!("usage: standin-3 CASE PROGRAM FOLDER RECORD");
        std::process::exit(2);
    };
    let has_trouble = std::env::var("TROUBLE").map_or(true, |it| it != "0");
    let record = Arc::new(record::Record::create(record));
    record.line(&format!("case {case}, with the disruption: {has_trouble}"));
    let site = site::Site::new(program, folder, record.clone());
    let verdict = match case.as_str() {
        "silent-requests" => cases::silent_requests(site, has_trouble),
        "silent-configuration" => cases::silent_configuration(site, has_trouble),
        "silent-cancel" => cases::silent_cancel(site, has_trouble),
        "gang-failed" => cases::gang_failed(site, has_trouble),
        "one-machine-left" => cases::one_machine_left(site, has_trouble),
        _ => None,
    };
    let (code, text) = match verdict {
        Some(true) => (1, "the rule was broken"),
        Some(false) => (0, "the rule held"),
        None => (2, "the case could not run"),
    };
    record.line(text);
    println!("{case}: {text}");
    std::process::exit(code);
}
