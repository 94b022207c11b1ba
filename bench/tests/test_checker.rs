//! Each checker finds a history that breaks its promise, and passes the same
//! history with the fault mended.

use oriole_bench::checker::{Guarantee, find_violations};
use oriole_bench::history::{EventKind, HistoryEvent};
use oriolewall::id::JobId;
use uuid::Uuid;

const JOB: JobId = Uuid::from_u128(1);
const TEAM: &str = "org/a/t";

fn at(at_ms: u64, kind: EventKind) -> HistoryEvent {
    HistoryEvent {
        at_ms,
        job: None,
        attempt: 0,
        kind,
    }
}

fn job(at_ms: u64, attempt: u32, kind: EventKind) -> HistoryEvent {
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
    job(
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
    at(0, EventKind::Cap { team: TEAM.into(), slots })
}

fn answer(outcome: &str, body: &str) -> EventKind {
    EventKind::Answer {
        outcome: outcome.into(),
        body: body.into(),
    }
}

/// Promises that a history breaks.
fn broken(entries: &[HistoryEvent]) -> Vec<Guarantee> {
    find_violations(entries).into_iter().map(|it| it.guarantee).collect()
}

#[test]
fn a_history_without_faults_breaks_nothing() {
    let own = format!("answer of {JOB}");
    let entries = [
        invoke(true),
        cap(1),
        job(10, 1, start(true)),
        job(20, 1, EventKind::End { whole: true }),
        job(21, 0, answer("done", &own)),
    ];
    assert_eq!(broken(&entries), []);
}

#[test]
fn a_grant_over_the_budget_is_found() {
    let record = |disrupted, granted| {
        at(
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
    assert_eq!(broken(&[record(1, true), record(2, false)]), []);
    assert_eq!(broken(&[record(2, true)]), [Guarantee::Budget]);
}

#[test]
fn an_instance_in_two_pools_or_none_is_found() {
    let record = |pools: &[&str]| {
        at(
            5,
            EventKind::Pools {
                worker: "w1".into(),
                pools: pools.iter().map(|it| it.to_string()).collect(),
            },
        )
    };
    assert_eq!(broken(&[record(&["a"])]), []);
    assert_eq!(
        broken(&[record(&["a", "b"]), record(&[])]),
        [Guarantee::OnePool, Guarantee::OnePool]
    );
}

#[test]
fn a_start_for_another_team_or_a_withdrawn_key_is_found() {
    let withdrawn = at(1_000, EventKind::Withdraw { key: "k1".into() });
    assert_eq!(broken(&[invoke(false), cap(1), withdrawn.clone(), job(6_000, 1, start(false))]), []);
    assert_eq!(
        broken(&[invoke(false), cap(1), withdrawn, job(6_001, 1, start(false))]),
        [Guarantee::Key]
    );
    assert_eq!(broken(&[cap(1), job(10, 1, start(false))]), [Guarantee::Key]);
}

#[test]
fn running_above_the_cap_is_found() {
    assert_eq!(
        broken(&[invoke(false), cap(1), job(10, 1, start(false)), job(11, 2, start(false))]),
        [Guarantee::Cap]
    );
    let lowered = at(
        100,
        EventKind::Cap {
            team: TEAM.into(),
            slots: 0,
        },
    );
    assert_eq!(broken(&[invoke(false), cap(1), lowered.clone(), job(3_100, 1, start(false))]), []);
    assert_eq!(
        broken(&[invoke(false), cap(1), lowered, job(3_101, 1, start(false))]),
        [Guarantee::Cap]
    );
}

#[test]
fn a_start_in_a_zone_taken_out_is_found() {
    let out = at(
        100,
        EventKind::Zone {
            zone: "za".into(),
            open: false,
        },
    );
    let back = at(
        200,
        EventKind::Zone {
            zone: "za".into(),
            open: true,
        },
    );
    assert_eq!(broken(&[invoke(false), cap(1), out.clone(), job(3_100, 1, start(false))]), []);
    assert_eq!(broken(&[invoke(false), cap(1), out.clone(), back, job(9_000, 1, start(false))]), []);
    assert_eq!(
        broken(&[invoke(false), cap(1), out, job(3_101, 1, start(false))]),
        [Guarantee::ZoneOut]
    );
}

#[test]
fn a_crossed_or_cut_answer_is_found() {
    assert_eq!(broken(&[job(10, 0, answer("done", "answer of another"))]), [Guarantee::WholeAnswer]);
    assert_eq!(broken(&[job(10, 0, answer("done", ""))]), [Guarantee::WholeAnswer]);
}

#[test]
fn an_untrue_refusal_is_found() {
    let entries = [invoke(false), cap(1), job(10, 1, start(false)), job(20, 0, answer("not_run", ""))];
    assert_eq!(broken(&entries), [Guarantee::NotRun]);
    assert_eq!(broken(&[invoke(false), job(20, 0, answer("not_run", ""))]), []);
}

#[test]
fn a_second_run_is_found() {
    let entries = |once| [invoke(once), cap(2), job(10, 1, start(once)), job(20, 2, start(once))];
    assert_eq!(broken(&entries(true)), [Guarantee::Once]);
    assert_eq!(broken(&entries(false)), []);
}

#[test]
fn a_start_on_a_departing_upstream_is_found() {
    let depart = at(100, EventKind::Depart { worker: "w1".into() });
    assert_eq!(broken(&[invoke(false), cap(1), depart.clone(), job(5_100, 1, start(false))]), []);
    assert_eq!(
        broken(&[invoke(false), cap(1), depart, job(5_101, 1, start(false))]),
        [Guarantee::Departing]
    );
}

#[test]
fn a_request_cut_by_a_planned_stop_is_found() {
    assert_eq!(broken(&[job(10, 0, EventKind::Cut { planned: false })]), []);
    assert_eq!(broken(&[job(10, 0, EventKind::Cut { planned: true })]), [Guarantee::PlannedStop]);
}

#[test]
fn configuration_that_reverts_or_lags_is_found() {
    let seen = |at_ms, offset| {
        at(
            at_ms,
            EventKind::Seen {
                process: "e1".into(),
                offset,
                reachable: true,
            },
        )
    };
    let accepted = at(1_000, EventKind::Accepted { offset: 4 });
    assert_eq!(broken(&[seen(1, 4), accepted.clone(), seen(7_000, 4), seen(8_000, 5)]), []);
    assert_eq!(broken(&[seen(1, 5), seen(2, 4)]), [Guarantee::Config]);
    assert_eq!(broken(&[seen(1, 4), accepted, seen(8_001, 4)]), [Guarantee::Config]);
}
