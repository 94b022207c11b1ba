//! The decision log says what `docs/OPERATIONS.md` documents.

use std::collections::BTreeSet;
use std::sync::Arc;

use oriolewall::decision::Decision;
use oriolewall::order::Refusal;
use serde_json::Value;

const OPERATIONS: &str = include_str!("../../docs/OPERATIONS.md");

/// Every kind of note with the event under which it is written.
fn notes() -> Vec<(&'static str, Decision)> {
    let job: Arc<str> = Arc::from("job");
    let worker: Arc<str> = Arc::from("w1");
    let task = (0, 0, 0);
    vec![
        (
            "admitted",
            Decision::Admitted {
                job: job.clone(),
                queue: Arc::from("queue"),
                team: Arc::from("team"),
                tasks: 1,
            },
        ),
        (
            "placed",
            Decision::Placed {
                job: job.clone(),
                task,
                run: 1,
                worker: worker.clone(),
                free_cpu: 1,
                age_ms: 1,
                config: 1,
            },
        ),
        (
            "ended",
            Decision::Ended {
                job: job.clone(),
                task,
                run: 1,
                worker: worker.clone(),
                how: "done",
            },
        ),
        (
            "closed",
            Decision::Closed {
                job: job.clone(),
                phase: "completed",
                age_ms: 1,
                objective_ms: 1,
            },
        ),
        (
            "order_refused",
            Decision::Refused {
                job: job.clone(),
                run: 1,
                worker: worker.clone(),
                reason: Refusal::Room,
            },
        ),
        (
            "interrupted",
            Decision::Interrupted {
                job,
                task,
                run: 1,
                worker: worker.clone(),
            },
        ),
        (
            "contact",
            Decision::Contact {
                worker: worker.clone(),
                answers: true,
                runs: 1,
            },
        ),
        (
            "silent",
            Decision::Silent {
                worker: worker.clone(),
                runs: 1,
                left_ms: 1,
            },
        ),
        ("suspect", Decision::Suspect { worker, why: "fails" }),
    ]
}

/// Words in backquotes of a cell of the table.
fn quoted(cell: &str) -> BTreeSet<&str> {
    cell.split('`').skip(1).step_by(2).collect()
}

/// Fields that the table names for an event.
fn documented(event: &str) -> BTreeSet<&'static str> {
    let rows = OPERATIONS.lines().filter(|it| it.starts_with("| `"));
    let mut cells = rows.map(|it| it.split('|').map(str::trim).skip(1));
    let row = cells.find_map(|mut it| quoted(it.next()?).contains(event).then(|| it.next()).flatten());
    quoted(row.unwrap_or_else(|| panic!("event `{event}` is not in the table")))
}

#[test]
fn every_note_writes_the_fields_that_its_event_documents() {
    let mut written: Vec<(BTreeSet<&str>, BTreeSet<String>)> = Vec::new();
    for (event, note) in notes() {
        let Value::Object(fields) = serde_json::to_value(&note).unwrap() else {
            panic!("{event} is no object");
        };
        let names: BTreeSet<String> = fields.keys().filter(|it| *it != "decision").cloned().collect();
        let documented = documented(event);
        let missing: Vec<&String> = names.iter().filter(|it| !documented.contains(it.as_str())).collect();
        assert!(missing.is_empty(), "`{event}` writes {missing:?}, which the table does not name");
        // Events that share a row share its fields.
        match written.iter_mut().find(|(row, _)| *row == documented) {
            Some((_, all)) => all.extend(names),
            None => written.push((documented, names)),
        }
    }
    for (documented, names) in written {
        let unwritten: Vec<&&str> = documented.iter().filter(|it| !names.contains(**it)).collect();
        assert!(unwritten.is_empty(), "no note writes {unwritten:?}");
    }
}
