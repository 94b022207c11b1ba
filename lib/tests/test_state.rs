//! The apply function: idempotence, preconditions, and rules that no order of
//! records may break.

use bolero::check;
use oriolewall::fleet::{Health, Purpose};
use oriolewall::record::{Change, Payload};
use oriolewall::setting;
use oriolewall::state::{RecordOutcome, Refusal, State};
use oriolewall::tree::{self, Edit};
use testutils::{StateFixture, grant_key, instance, join, set};

const ITERATIONS: usize = 2_000;
const TEAM: &str = "org/a/t";

#[test]
fn a_record_that_comes_twice_is_applied_once() {
    let mut bed = StateFixture::new();
    bed.apply(set(TEAM, setting::CAP, "10"));
    bed.apply(join("e1", "za"));
    let grant = bed.record(Change::Grant {
        team: TEAM.into(),
        member: "e1".into(),
        slots: 3,
    });
    let first = bed.apply_record(grant.clone());
    let again = bed.apply_record(grant);
    assert_eq!(first, RecordOutcome::Accepted(2));
    assert_eq!(again, first);
    assert_eq!(bed.state.ledger.held(TEAM, "e1"), 3);
}

#[test]
fn the_loser_of_a_race_learns_both_values() {
    let mut bed = StateFixture::new();
    bed.apply(set(TEAM, setting::CAP, "10"));
    let edit = |value: &str| Edit {
        path: TEAM.into(),
        name: setting::CAP.into(),
        value: Some(value.into()),
        expected: Some(0),
    };
    assert_eq!(bed.apply(Change::Edit(edit("20"))), RecordOutcome::Accepted(1));
    let lost = bed.apply(Change::Edit(Edit {
        expected: Some(0),
        ..edit("30")
    }));
    let conflict = tree::Error::Conflict {
        path: TEAM.into(),
        expected: 0,
        found: 1,
        name: setting::CAP.into(),
        current: Some("20".into()),
        wanted: Some("30".into()),
    };
    assert_eq!(lost, RecordOutcome::Refused(Refusal::Tree(conflict)));
    assert_eq!(bed.state.cap(TEAM), 20);
}

#[test]
fn a_key_is_known_by_its_hash_and_never_granted_twice() {
    let mut bed = StateFixture::new();
    bed.apply(grant_key("k1", TEAM));
    assert!(matches!(
        bed.apply(grant_key("k1", "org/b/u")),
        RecordOutcome::Refused(Refusal::Key(_))
    ));
    assert_eq!(bed.state.keys.authenticate("k1.k1").map(|(_, team)| team), Ok(TEAM.into()));
    assert!(bed.state.keys.authenticate("k1.wrong").is_err());
    bed.apply(Change::KeyWithdraw { id: "k1".into() });
    assert!(bed.state.keys.authenticate("k1.k1").is_err());
}

#[test]
fn of_two_moves_one_wins_and_the_other_is_told() {
    let mut bed = StateFixture::new();
    bed.apply(set("", setting::BUDGET, "5"));
    bed.apply(instance("w1", "za", "r1", "a"));
    let epoch = bed.state.fleet.get("w1").map_or(0, |it| it.epoch);
    let mv = |to: &str| Change::Permit {
        id: "w1".into(),
        epoch,
        purpose: Purpose::Move { to: to.into() },
    };
    assert!(matches!(bed.apply(mv("b")), RecordOutcome::Accepted(_)));
    let told = bed.apply(mv("c"));
    assert!(
        matches!(told, RecordOutcome::Refused(Refusal::Fleet(oriolewall::fleet::Error::Busy { .. }))),
        "{told:?}"
    );
    bed.apply(Change::Release { id: "w1".into() });
    assert_eq!(bed.state.fleet.get("w1").map(|it| it.pool.to_string()), Some("b".to_owned()));
    let late = bed.apply(mv("c"));
    assert!(
        matches!(late, RecordOutcome::Refused(Refusal::Fleet(oriolewall::fleet::Error::Epoch { .. }))),
        "{late:?}"
    );
}

#[test]
fn permits_stop_at_the_budget_after_a_rack_is_lost() {
    let mut bed = StateFixture::new();
    bed.apply(set("pool/a", setting::BUDGET, "3"));
    for (index, rack) in ["r1", "r1", "r2", "r2", "r3", "r3"].iter().enumerate() {
        bed.apply(instance(&format!("w{index}"), "za", rack, "a"));
    }
    let permit = |bed: &mut StateFixture, id: &str| {
        let epoch = bed.state.fleet.get(id).map_or(0, |it| it.epoch);
        bed.apply(Change::Permit {
            id: id.into(),
            epoch,
            purpose: Purpose::Maintain,
        })
    };
    assert!(matches!(permit(&mut bed, "w0"), RecordOutcome::Accepted(_)));
    bed.apply(Change::Observe {
        id: "w2".into(),
        health: Health::Down,
    });
    bed.apply(Change::Observe {
        id: "w3".into(),
        health: Health::Down,
    });
    let refused = permit(&mut bed, "w4");
    assert!(
        matches!(
            refused,
            RecordOutcome::Refused(Refusal::Fleet(oriolewall::fleet::Error::Budget { used: 3, budget: 3, .. }))
        ),
        "{refused:?}"
    );
    bed.apply(Change::Observe {
        id: "w2".into(),
        health: Health::Up,
    });
    assert!(matches!(permit(&mut bed, "w4"), RecordOutcome::Accepted(_)));
}

/// Any order of escrow records by any members keeps the sum of allotments
/// within the cap, or above it only by what a lowered cap left behind.
#[test]
fn allotments_never_grow_above_the_cap() {
    check!()
        .with_type::<Vec<(u8, u8, u8)>>()
        .with_iterations(ITERATIONS)
        .for_each(|steps| {
            let mut bed = StateFixture::new();
            for id in ["e0", "e1", "e2"] {
                bed.apply(join(id, "za"));
            }
            bed.apply(set(TEAM, setting::CAP, "10"));
            for step in steps {
                let before = bed.state.ledger.total_held(TEAM);
                bed.apply(escrow_step(*step));
                let after = bed.state.ledger.total_held(TEAM);
                assert!(
                    after <= before.max(bed.state.cap(TEAM)),
                    "{before} became {after} with cap {}",
                    bed.state.cap(TEAM)
                );
                let usable: u64 = ["e0", "e1", "e2"]
                    .iter()
                    .map(|it| bed.state.ledger.usable(TEAM, it, bed.state.cap(TEAM)))
                    .sum();
                assert!(usable <= bed.state.cap(TEAM));
            }
        });
}

fn escrow_step((kind, who, slots): (u8, u8, u8)) -> Change {
    let member = |it: u8| format!("e{}", it % 3).as_str().into();
    let slots = u64::from(slots % 16);
    match kind % 5 {
        0 => Change::Grant {
            team: TEAM.into(),
            member: member(who),
            slots,
        },
        1 => Change::Transfer {
            team: TEAM.into(),
            from: member(who),
            to: Some(member(who / 3)),
            slots,
        },
        2 => Change::Transfer {
            team: TEAM.into(),
            from: member(who),
            to: None,
            slots,
        },
        3 => set(TEAM, setting::CAP, &slots.to_string()),
        _ => Change::Fence { id: member(who) },
    }
}

/// Any order of fleet records keeps every grant within the budget and every
/// instance in one pool.
#[test]
fn no_order_of_permits_and_failures_overdraws_a_budget() {
    check!().with_type::<Vec<(u8, u8)>>().with_iterations(ITERATIONS).for_each(|steps| {
        let mut bed = StateFixture::new();
        bed.apply(set("", setting::BUDGET, "2"));
        for index in 0..6 {
            bed.apply(instance(&format!("w{index}"), "za", "r1", "a"));
        }
        for (kind, who) in steps {
            let id = format!("w{}", who % 6);
            let epoch = bed.state.fleet.get(&id).map_or(0, |it| it.epoch);
            let change = match kind % 5 {
                0 => Change::Permit {
                    id: id.as_str().into(),
                    epoch,
                    purpose: Purpose::Maintain,
                },
                1 => Change::Permit {
                    id: id.as_str().into(),
                    epoch,
                    purpose: Purpose::Move { to: "b".into() },
                },
                2 => Change::Observe {
                    id: id.as_str().into(),
                    health: Health::Down,
                },
                3 => Change::Observe {
                    id: id.as_str().into(),
                    health: Health::Up,
                },
                _ => Change::Release { id: id.as_str().into() },
            };
            let pool = bed.state.fleet.get(&id).map(|it| it.pool.clone()).unwrap_or_default();
            let is_permit = matches!(change, Change::Permit { .. });
            let verdict = bed.apply(change);
            if is_permit && matches!(verdict, RecordOutcome::Accepted(_)) {
                let budget = bed.state.budget(&pool).limit(bed.state.fleet.pool_size(&pool));
                assert!(bed.state.fleet.disrupted_count(&pool) <= budget);
            }
            assert_eq!(bed.state.fleet.pool_size("a") + bed.state.fleet.pool_size("b"), 6);
        }
    });
}

#[test]
fn damaged_payloads_are_refused_and_never_panic() {
    check!().with_type::<Vec<u8>>().with_iterations(ITERATIONS).for_each(|bytes| {
        if let Ok(payload) = Payload::decode(bytes) {
            let mut state = State::default();
            state.apply(&payload);
            assert_eq!(state.next_offset(), 1);
        }
        let _ = oriolewall::wire::Frame::decode(bytes);
        let _ = oriolewall::snapshot::decode(bytes);
    });
}

#[test]
fn a_value_holds_below_unless_a_lower_node_overrides_it() {
    let mut bed = StateFixture::new();
    bed.apply(set("org", setting::CAP, "5"));
    bed.apply(set("org/a", setting::CAP, "7"));
    assert_eq!(bed.state.cap("org/a/t"), 7);
    assert_eq!(bed.state.cap("org/b/u"), 5);
    let found = bed.state.tree.explain("org/a/t", setting::CAP);
    assert_eq!(
        (found.node.as_deref(), found.offset, found.author.as_deref()),
        (Some("org/a"), Some(1), Some("test"))
    );
    assert!(matches!(
        bed.apply(set("org/a", setting::CAP, "many")),
        RecordOutcome::Refused(Refusal::Tree(_))
    ));
}
