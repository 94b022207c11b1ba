//! Runs one case of the review: `site CASE RECORD`. Exits with 1 if the rule was broken, 0 if it
//! held, and 2 if the case could not run.

mod advice;
mod cases;
mod fleet;
mod gang;
mod http;
mod json;
mod record;
mod runner;
mod store;

use std::os::unix::process::parent_id;
use std::panic::{AssertUnwindSafe, catch_unwind, resume_unwind};
use std::path::Path;
use std::process::exit;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread;
use std::time::{Duration, Instant};

use record::Record;

/// Longest time that a case may take.
const TIME_LIMIT: Duration = Duration::from_secs(115);

/// Why a case cannot run. It unwinds, so that the processes that were started are ended.
struct CannotRun;

/// Ends the case without a verdict.
pub fn cannot_run(why: &str) -> ! {
    eprintln!("cannot run: {why}");
    resume_unwind(Box::new(CannotRun))
}

unsafe extern "C" {
    fn signal(number: i32, handler: extern "C" fn(i32)) -> usize;
}

const SIGINT: i32 = 2;
const SIGTERM: i32 = 15;

/// Whether this process was told to end.
static IS_SIGNALLED: AtomicBool = AtomicBool::new(false);

extern "C" fn note_signal(_number: i32) {
    IS_SIGNALLED.store(true, Ordering::Relaxed);
}

/// Ends the case and all processes that it started if it takes too long, is told to end, or its
/// caller has ended.
fn end_early() {
    let (begun, parent) = (Instant::now(), parent_id());
    let why = loop {
        thread::sleep(Duration::from_millis(50));
        match () {
            () if TIME_LIMIT < begun.elapsed() => break "it takes too long",
            () if IS_SIGNALLED.load(Ordering::Relaxed) => break "it was told to end",
            () if parent_id() != parent => break "its caller has ended",
            () => {}
        }
    };
    eprintln!("cannot run: {why}");
    fleet::end_all();
    exit(2);
}

fn main() {
    let args: Vec<String> = std::env::args().collect();
    let [_, case, record] = args.as_slice() else {
        eprintln!("usage: site CASE RECORD");
        exit(2);
    };
    let is_troubled = std::env::var("TROUBLE").map_or(true, |it| it != "0");
    // SAFETY: the handler only stores a flag.
    unsafe {
        signal(SIGINT, note_signal);
        signal(SIGTERM, note_signal);
    }
    thread::spawn(end_early);
    let verdict = catch_unwind(AssertUnwindSafe(|| {
        let record = Arc::new(Record::create(Path::new(record)));
        std::env::set_current_dir(fleet::repository()).unwrap_or_else(|err| cannot_run(&err.to_string()));
        let case = cases::find(case).unwrap_or_else(|| cannot_run("there is no such case"));
        let breaks = case(record.clone(), is_troubled);
        for line in &breaks {
            record.say(format!("BROKEN {line}"));
        }
        record.say(if breaks.is_empty() {
            "the rule held"
        } else {
            "the rule was broken"
        });
        breaks.is_empty()
    }));
    exit(match verdict {
        Ok(true) => 0,
        Ok(false) => 1,
        Err(_) => 2,
    });
}
