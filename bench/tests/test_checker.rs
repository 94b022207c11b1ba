//! Tests of the checks on small histories: each check must find the violation of its
//! guarantee, and most are shown a similar history without one.

use oriole_bench::checker::{Guarantee, find_violations};
use oriole_bench::history::{EventKind, HistoryEvent};
use oriolewall::id::JobId;
use uuid::Uuid;

const JOB: JobId = Uuid::from_u128(1);
const TEAM: &str = "org/a/t";

/// An event that concerns no job.
fn event(at_ms: u64, kind: EventKind) -> HistoryEvent {
    HistoryEvent {
        at_ms,
        job: None,
        attempt: 0,
        kind,
    }
}

/// An event that concerns an attempt of `JOB`.
fn job_event(at_ms: u64, attempt: u32, kind: EventKind) -> HistoryEvent {
    HistoryEvent {
        at_ms,
        job: Some(JOB),
        attempt,
        kind,
    }
}

fn start(once: bool) -> EventKind {
    EventKind::Start {
        team: TEAM.into(),
        zone: "za".into(),
        worker: "w1".into(),
        once,
    }
}

fn invoke(once: bool) -> HistoryEvent {
    job_event(
        0,
        0,
        EventKind::Invoke {
            team: TEAM.into(),
            key: "k1".into(),
            once,
        },
    )
}

fn cap(slots: u64) -> HistoryEvent {
    event(0, EventKind::Cap { team: TEAM.into(), slots })
}

fn answer(outcome: &str, body: &str) -> EventKind {
    EventKind::Answer {
        outcome: outcome.into(),
        body: body.into(),
    }
}

/// Guarantees that a history violates.
fn violated_guarantees(events: &[HistoryEvent]) -> Vec<Guarantee> {
    find_violations(events).into_iter().map(|it| it.guarantee).collect()
}

#[test]
fn a_correct_history_has_no_violations() {
    let answer_body = format!("answer of {JOB}");
    let events = [
        invoke(true),
        cap(1),
        job_event(10, 1, start(true)),
        job_event(20, 1, EventKind::End { whole: true }),
        job_event(21, 0, answer("done", &answer_body)),
    ];
    assert_eq!(violated_guarantees(&events), []);
}

#[test]
fn a_grant_over_the_budget_is_found() {
    let record = |disrupted, granted| {
        event(
            5,
            EventKind::Budget {
                pool: "p".into(),
                permits: disrupted,
                disrupted,
                budget: 1,
                granted,
            },
        )
    };
    assert_eq!(violated_guarantees(&[record(1, true), record(2, false)]), []);
    assert_eq!(violated_guarantees(&[record(2, true)]), [Guarantee::Budget]);
}

#[test]
fn an_instance_in_two_pools_or_none_is_found() {
    let record = |pools: &[&str]| {
        event(
            5,
            EventKind::Pools {
                worker: "w1".into(),
                pools: pools.iter().map(|it| it.to_string()).collect(),
            },
        )
    };
    assert_eq!(violated_guarantees(&[record(&["a"])]), []);
    assert_eq!(
        violated_guarantees(&[record(&["a", "b"]), record(&[])]),
        [Guarantee::OnePool, Guarantee::OnePool]
    );
}

#[test]
fn a_start_for_another_team_or_a_withdrawn_key_is_found() {
    let withdrawn = event(1_000, EventKind::Withdraw { key: "k1".into() });
    assert_eq!(
        violated_guarantees(&[invoke(false), cap(1), withdrawn.clone(), job_event(6_000, 1, start(false))]),
        []
    );
    assert_eq!(
        violated_guarantees(&[invoke(false), cap(1), withdrawn, job_event(6_001, 1, start(false))]),
        [Guarantee::Key]
    );
    assert_eq!(violated_guarantees(&[cap(1), job_event(10, 1, start(false))]), [Guarantee::Key]);
}

#[test]
fn running_above_the_cap_is_found() {
    assert_eq!(
        violated_guarantees(&[
            invoke(false),
            cap(1),
            job_event(10, 1, start(false)),
            job_event(11, 2, start(false))
        ]),
        [Guarantee::Cap]
    );
    let lowered = event(
        100,
        EventKind::Cap {
            team: TEAM.into(),
            slots: 0,
        },
    );
    assert_eq!(
        violated_guarantees(&[invoke(false), cap(1), lowered.clone(), job_event(3_100, 1, start(false))]),
        []
    );
    assert_eq!(
        violated_guarantees(&[invoke(false), cap(1), lowered, job_event(3_101, 1, start(false))]),
        [Guarantee::Cap]
    );
}

#[test]
fn a_start_in_a_zone_taken_out_is_found() {
    let zone_out = event(
        100,
        EventKind::Zone {
            zone: "za".into(),
            open: false,
        },
    );
    let zone_in = event(
        200,
        EventKind::Zone {
            zone: "za".into(),
            open: true,
        },
    );
    assert_eq!(
        violated_guarantees(&[invoke(false), cap(1), zone_out.clone(), job_event(3_100, 1, start(false))]),
        []
    );
    assert_eq!(
        violated_guarantees(&[invoke(false), cap(1), zone_out.clone(), zone_in, job_event(9_000, 1, start(false))]),
        []
    );
    assert_eq!(
        violated_guarantees(&[invoke(false), cap(1), zone_out, job_event(3_101, 1, start(false))]),
        [Guarantee::ZoneOut]
    );
}

#[test]
fn a_wrong_or_truncated_answer_is_found() {
    assert_eq!(
        violated_guarantees(&[job_event(10, 0, answer("done", "answer of another"))]),
        [Guarantee::WholeAnswer]
    );
    assert_eq!(
        violated_guarantees(&[job_event(10, 0, answer("done", ""))]),
        [Guarantee::WholeAnswer]
    );
}

#[test]
fn a_start_of_a_job_answered_not_run_is_found() {
    let events = [
        invoke(false),
        cap(1),
        job_event(10, 1, start(false)),
        job_event(20, 0, answer("not_run", "")),
    ];
    assert_eq!(violated_guarantees(&events), [Guarantee::NotRun]);
    assert_eq!(violated_guarantees(&[invoke(false), job_event(20, 0, answer("not_run", ""))]), []);
}

#[test]
fn a_second_start_of_a_job_that_must_not_be_repeated_is_found() {
    let events = |once| [invoke(once), cap(2), job_event(10, 1, start(once)), job_event(20, 2, start(once))];
    assert_eq!(violated_guarantees(&events(true)), [Guarantee::Once]);
    assert_eq!(violated_guarantees(&events(false)), []);
}

#[test]
fn a_start_on_an_upstream_leaving_service_is_found() {
    let depart = event(100, EventKind::Depart { worker: "w1".into() });
    assert_eq!(
        violated_guarantees(&[invoke(false), cap(1), depart.clone(), job_event(5_100, 1, start(false))]),
        []
    );
    assert_eq!(
        violated_guarantees(&[invoke(false), cap(1), depart, job_event(5_101, 1, start(false))]),
        [Guarantee::Departing]
    );
}

#[test]
fn a_request_broken_by_a_graceful_stop_is_found() {
    assert_eq!(violated_guarantees(&[job_event(10, 0, EventKind::Cut { planned: false })]), []);
    assert_eq!(
        violated_guarantees(&[job_event(10, 0, EventKind::Cut { planned: true })]),
        [Guarantee::PlannedStop]
    );
}

#[test]
fn configuration_that_reverts_or_lags_is_found() {
    let seen = |at_ms, offset| {
        event(
            at_ms,
            EventKind::Seen {
                process: "e1".into(),
                offset,
                reachable: true,
            },
        )
    };
    let accepted = event(1_000, EventKind::Accepted { offset: 4 });
    assert_eq!(
        violated_guarantees(&[seen(1, 4), accepted.clone(), seen(7_000, 4), seen(8_000, 5)]),
        []
    );
    assert_eq!(violated_guarantees(&[seen(1, 5), seen(2, 4)]), [Guarantee::Config]);
    assert_eq!(violated_guarantees(&[seen(1, 4), accepted, seen(8_001, 4)]), [Guarantee::Config]);
}
