//! Checks the fields of decision log lines against the table in `docs/OPERATIONS.md`.

use std::collections::BTreeSet;
use std::sync::Arc;

use oriolewall::decision::Decision;
use oriolewall::order::Refusal;
use serde_json::Value;

const OPERATIONS: &str = include_str!("../../docs/OPERATIONS.md");

/// One decision of every variant with the event name under which it is written.
fn decisions() -> Vec<(&'static str, Decision)> {
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

/// Words in backquotes in a cell of the table.
fn quoted(cell: &str) -> BTreeSet<&str> {
    cell.split('`').skip(1).step_by(2).collect()
}

/// Fields that the table lists for an event.
fn documented(event: &str) -> BTreeSet<&'static str> {
    let rows = OPERATIONS.lines().filter(|it| it.starts_with("| `"));
    let mut cells = rows.map(|it| it.split('|').map(str::trim).skip(1));
    let row = cells.find_map(|mut it| quoted(it.next()?).contains(event).then(|| it.next()).flatten());
    quoted(row.unwrap_or_else(|| panic!("event `{event}` is not in the table")))
}

#[test]
fn every_decision_writes_the_documented_fields() {
    let mut fields_by_row: Vec<(BTreeSet<&str>, BTreeSet<String>)> = Vec::new();
    for (event, decision) in decisions() {
        let Value::Object(fields) = serde_json::to_value(&decision).unwrap() else {
            panic!("{event} is not an object");
        };
        let names: BTreeSet<String> = fields.keys().filter(|it| *it != "decision").cloned().collect();
        let documented_fields = documented(event);
        let missing: Vec<&String> = names.iter().filter(|it| !documented_fields.contains(it.as_str())).collect();
        assert!(missing.is_empty(), "`{event}` writes {missing:?}, which the table does not list");
        // Events may share a row; together they must write all of its fields.
        match fields_by_row.iter_mut().find(|(row, _)| *row == documented_fields) {
            Some((_, all)) => all.extend(names),
            None => fields_by_row.push((documented_fields, names)),
        }
    }
    for (documented_fields, names) in fields_by_row {
        let unused: Vec<&&str> = documented_fields.iter().filter(|it| !names.contains(**it)).collect();
        assert!(unused.is_empty(), "no decision writes {unused:?}");
    }
}
