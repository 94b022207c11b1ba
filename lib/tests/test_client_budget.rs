//! Which connections of clients are kept while memory or connections are short.

use std::time::Duration;

use oriolewall::client_budget::{Admission, Charge, ClientBudget, ConnectionId, Limits, Listener, Reason};
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};

/// Memory of a large and of an ordinary request, bytes.
const LARGE: usize = 768 * 1024;
const ORDINARY: usize = 12 * 1024;

fn at(millis: u64) -> Duration {
    Duration::from_millis(millis)
}

/// Limits of an instance of 160 MiB and 4,100 descriptors.
fn limits() -> Limits {
    Limits::derive(160 << 20, 4100, 26 << 10)
}

fn budget(connections: usize) -> ClientBudget {
    ClientBudget::new(Limits { connections, ..limits() })
}

fn admit(budget: &mut ClientBudget, now: Duration, listener: Listener) -> ConnectionId {
    match budget.admit(now, listener) {
        Admission::Admitted(id) => id,
        Admission::Wait(_) => panic!("the connection is not admitted"),
    }
}

/// Admits a connection that sends a body, for which it asks for memory.
fn begin(budget: &mut ClientBudget, now: Duration, bytes: usize) -> (ConnectionId, Charge) {
    let id = admit(budget, now, Listener::Callers);
    budget.record_received(now, id, 200);
    budget.record_body(now, id);
    (id, budget.charge(now, id, bytes))
}

/// Closes the connections that have to be closed.
fn close(budget: &mut ClientBudget, ids: impl IntoIterator<Item = ConnectionId>) {
    ids.into_iter().for_each(|it| budget.remove(it));
}

#[test]
fn stalled_bodies_give_way_to_others_and_ordinary_requests_need_not_wait() {
    // Bodies that stopped just short of their end held memory without a bound.
    let mut budget = budget(2000);
    let mut granted = 0;
    for number in 0..300 {
        let now = at(number);
        let (id, charge) = begin(&mut budget, now, LARGE);
        granted += usize::from(charge == Charge::Granted);
        budget.record_received(now, id, LARGE / 3 - 10);
        assert!(budget.used_bytes() <= limits().caller_bytes);
        assert_eq!(begin(&mut budget, now, ORDINARY).1, Charge::Granted, "ordinary request {number}");
        // The ordinary request is answered at once.
        let last = 2 * number + 1;
        assert_eq!(budget.record_complete(now, last), None);
        budget.record_response(now, last);
    }
    assert_eq!(granted, 16, "three quarters of 16 MiB hold 16 large requests");
    let (_, charge) = begin(&mut budget, at(2000), LARGE);
    let Charge::Wait(closed) = charge else {
        panic!("{charge:?}");
    };
    assert_eq!(closed.as_slice(), [0], "the oldest one without progress is closed");
    close(&mut budget, closed);
    let (_, charge) = begin(&mut budget, at(2000), LARGE);
    assert_eq!(charge, Charge::Granted);
}

#[test]
fn the_body_with_the_least_progress_is_closed_and_steady_ones_are_kept() {
    let mut budget = budget(1000);
    let ids: Vec<ConnectionId> = (0..16).map(|_| begin(&mut budget, at(0), LARGE).0).collect();
    for now in (0..=1000).step_by(50) {
        for id in &ids {
            // All but two arrive at 2 Mbit/s; one of these sends single bytes.
            let bytes = if *id == ids[5] { 1 } else { 12_500 };
            if *id != ids[9] {
                budget.record_received(at(now), *id, bytes);
            }
        }
    }
    let (first, charge) = begin(&mut budget, at(1000), LARGE);
    assert_eq!(charge, Charge::Wait([ids[9]].into_iter().collect()));
    budget.remove(ids[9]);
    assert_eq!(budget.charge(at(1000), first, LARGE), Charge::Granted);
    let (second, charge) = begin(&mut budget, at(1010), LARGE);
    assert_eq!(charge, Charge::Wait([ids[5]].into_iter().collect()));
    assert_eq!(budget.waiting().collect::<Vec<_>>(), [second]);
    budget.remove(ids[5]);
    assert_eq!(budget.charge(at(1010), second, LARGE), Charge::Granted);
    let (last, charge) = begin(&mut budget, at(1010), 2 * LARGE);
    assert_eq!(charge, Charge::Wait([].into_iter().collect()), "the others make progress");
    for now in (1050..=2000).step_by(50) {
        ids.iter()
            .chain([&first, &second])
            .for_each(|it| budget.record_received(at(now), *it, 12_500));
        assert_eq!(budget.charge(at(now), last, 2 * LARGE), Charge::Wait([].into_iter().collect()));
    }
    assert_eq!(budget.charge(at(2010), last, 2 * LARGE), Charge::Refused(Reason::Memory));
}

#[test]
fn a_complete_request_is_never_closed() {
    // It may have been carried out, so its caller must get the answer.
    let mut budget = budget(4);
    let (id, _) = begin(&mut budget, at(0), ORDINARY);
    assert_eq!(budget.record_complete(at(1), id), None);
    assert!(budget.check(at(500)).is_empty());
    for now in (1000..100_000).step_by(500) {
        assert!(budget.check(at(now)).is_empty());
        while let Admission::Wait(Some(other)) = budget.admit(at(now), Listener::Callers) {
            assert_ne!(other, id);
            budget.remove(other);
        }
    }
}

#[test]
fn heads_without_end_give_way_to_new_connections_and_idle_callers_stay() {
    let mut budget = budget(64);
    let caller = admit(&mut budget, at(0), Listener::Callers);
    budget.record_received(at(0), caller, 300);
    assert_eq!(budget.record_complete(at(0), caller), None);
    budget.record_response(at(0), caller);
    let mut admitted = 0;
    for now in (1..60_000).map(at) {
        match budget.admit(now, Listener::Callers) {
            Admission::Admitted(id) => {
                admitted += 1;
                budget.record_received(now, id, 8000);
            }
            Admission::Wait(closed) => close(&mut budget, closed),
        }
        assert_eq!(budget.closing(caller), None);
    }
    assert!(10_000 < admitted, "{admitted} connections were admitted in a minute");
    for listener in [Listener::Readiness, Listener::Metrics, Listener::Peers] {
        admit(&mut budget, at(60_000), listener);
    }
}

#[test]
fn a_new_connection_is_kept_until_its_request_can_be_read() {
    // The connection accepted last was closed for the next one before it was read from, as all
    // others had received more.
    let mut budget = budget(64);
    let mut last = None;
    while let Admission::Admitted(id) = budget.admit(at(0), Listener::Callers) {
        budget.record_received(at(0), id, 8000);
        last = Some(id);
    }
    budget.remove(last.expect("some are admitted"));
    let new = admit(&mut budget, at(99), Listener::Callers);
    assert_eq!(budget.admit(at(99), Listener::Callers), Admission::Wait(None));
    let Admission::Wait(Some(closed)) = budget.admit(at(100), Listener::Callers) else {
        panic!("a head can be closed");
    };
    assert_ne!(closed, new);
}

#[test]
fn idle_connections_are_closed_only_while_no_request_is_read() {
    // A long idle connection of an ordinary caller was closed while bodies waited for memory.
    let mut budget = budget(64);
    let mut open = Vec::new();
    while let Admission::Admitted(id) = budget.admit(at(0), Listener::Callers) {
        budget.record_response(at(0), id);
        open.push(id);
    }
    budget.remove(open.pop().expect("some are admitted"));
    let (body, _) = begin(&mut budget, at(20_000), LARGE);
    assert_eq!(budget.admit(at(20_000), Listener::Callers), Admission::Wait(None));
    assert_eq!(budget.record_complete(at(20_001), body), None);
    assert_eq!(budget.admit(at(20_001), Listener::Callers), Admission::Wait(Some(open[0])));
}

#[test]
fn readiness_checks_are_admitted_while_its_listener_is_flooded() {
    let mut budget = budget(200);
    let mut waited_since = at(0);
    for now in (0..10_000).map(at) {
        match budget.admit(now, Listener::Readiness) {
            Admission::Admitted(_) => waited_since = now,
            Admission::Wait(closed) => close(&mut budget, closed),
        }
        assert!(now - waited_since <= at(100), "a check waits in the backlog");
    }
}

#[test]
fn time_limits_close_slow_clients_and_begin_again_after_a_pause() {
    let mut budget = budget(100);
    let head = admit(&mut budget, at(0), Listener::Callers);
    budget.record_received(at(0), head, 10);
    let (body, _) = begin(&mut budget, at(0), LARGE);
    let idle = admit(&mut budget, at(0), Listener::Callers);
    budget.record_received(at(0), idle, 10);
    budget.record_response(at(0), idle);
    // The process is paused from 1 s to 8 s; what was sent meanwhile is read after the check.
    assert!(budget.check(at(500)).is_empty());
    assert!(budget.check(at(1000)).is_empty());
    assert!(budget.check(at(8000)).is_empty());
    let mut closed = Vec::new();
    for now in (8250..30_000).step_by(250) {
        for id in budget.check(at(now)) {
            closed.push((now, id, budget.closing(id).expect("it is to be closed")));
            budget.remove(id);
        }
    }
    assert_eq!(closed, [(13_000, body, Reason::BodySlow), (18_000, head, Reason::HeadSlow)]);
    assert_eq!(budget.closing(idle), None);
}

#[test]
fn a_body_that_arrives_steadily_has_the_whole_time_and_no_more() {
    let mut budget = budget(100);
    let (id, _) = begin(&mut budget, at(0), LARGE);
    let mut closed_at = None;
    for now in (0..20_000).step_by(250) {
        budget.record_received(at(now), id, 3000);
        if !budget.check(at(now)).is_empty() {
            closed_at = Some(now);
            break;
        }
    }
    assert_eq!(closed_at, Some(15_000));
    assert_eq!(budget.record_complete(at(15_100), id), Some(Reason::BodySlow), "it has not run");
}

#[test]
fn memory_and_connections_stay_in_bounds_under_random_clients() {
    let mut rng = StdRng::seed_from_u64(7);
    let limits = Limits {
        connections: 120,
        ..limits()
    };
    let mut budget = ClientBudget::new(limits);
    let mut open: Vec<ConnectionId> = Vec::new();
    for step in 0..50_000_u64 {
        let now = at(step * 3);
        let listener = Listener::ALL[rng.random_range(0..4)];
        match rng.random_range(0..8) {
            0 | 1 => match budget.admit(now, listener) {
                Admission::Admitted(id) => open.push(id),
                Admission::Wait(_) => {}
            },
            2 if !open.is_empty() => {
                let id = open.swap_remove(rng.random_range(0..open.len()));
                budget.remove(id);
            }
            3 => _ = budget.check(now),
            action if !open.is_empty() => {
                let id = open[rng.random_range(0..open.len())];
                match action {
                    4 => budget.record_body(now, id),
                    5 => _ = budget.charge(now, id, rng.random_range(1..3 * LARGE)),
                    6 => budget.record_received(now, id, rng.random_range(1..16_384)),
                    _ if rng.random() => _ = budget.record_complete(now, id),
                    _ => budget.record_response(now, id),
                }
            }
            _ => {}
        }
        open.retain(|it| {
            budget.closing(*it).is_none() || rng.random_bool(0.5) || {
                budget.remove(*it);
                false
            }
        });
        let connections: usize = Listener::ALL.iter().map(|it| budget.open(*it)).sum();
        assert!(connections <= limits.connections && connections == open.len());
        assert!(budget.used_bytes() <= limits.caller_bytes + limits.peer_bytes);
    }
    close(&mut budget, open);
    assert_eq!(budget.used_bytes(), 0);
}
