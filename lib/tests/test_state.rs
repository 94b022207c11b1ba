//! Application of log records to the state: idempotence, preconditions, and invariants
//! that hold for any order of records.

use bolero::check;
use oriolewall::fleet::{Health, Purpose};
use oriolewall::record::{Change, Payload};
use oriolewall::setting;
use oriolewall::state::{RecordOutcome, Refusal, State};
use oriolewall::tree::{self, Edit};
use testutils::{StateFixture, grant_key, instance, join, set};

/// Number of generated inputs per property test.
const ITERATIONS: usize = 2_000;
const TEAM: &str = "org/a/t";

/// A record whose append is repeated is in the log twice. The second one must not be
/// applied, and its outcome must stay that of the first.
#[test]
fn a_record_that_comes_twice_is_applied_once() {
    let mut fixture = StateFixture::new();
    fixture.apply(set(TEAM, setting::CAP, "10"));
    fixture.apply(join("e1", "za"));
    let grant = fixture.record(Change::Grant {
        team: TEAM.into(),
        member: "e1".into(),
        slots: 3,
    });
    let first = fixture.apply_record(grant.clone());
    let again = fixture.apply_record(grant);
    assert_eq!(first, RecordOutcome::Accepted(2));
    assert_eq!(again, first);
    assert_eq!(fixture.state.ledger.held(TEAM, "e1"), 3);
}

/// Of two edits based on the same version, the second is refused, and its author gets
/// the value in effect and the value that was refused.
#[test]
fn a_conflicting_edit_is_refused_with_both_values() {
    let mut fixture = StateFixture::new();
    fixture.apply(set(TEAM, setting::CAP, "10"));
    let edit = |value: &str| Edit {
        path: TEAM.into(),
        name: setting::CAP.into(),
        value: Some(value.into()),
        expected: Some(0),
    };
    assert_eq!(fixture.apply(Change::Edit(edit("20"))), RecordOutcome::Accepted(1));
    let refused = fixture.apply(Change::Edit(Edit {
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
    assert_eq!(refused, RecordOutcome::Refused(Refusal::Tree(conflict)));
    assert_eq!(fixture.state.cap(TEAM), 20);
}

/// A key works only with its own secret and until it is withdrawn, and its id cannot be
/// granted to another team.
#[test]
fn a_key_id_is_granted_once_and_needs_its_secret() {
    let mut fixture = StateFixture::new();
    fixture.apply(grant_key("k1", TEAM));
    assert!(matches!(
        fixture.apply(grant_key("k1", "org/b/u")),
        RecordOutcome::Refused(Refusal::Key(_))
    ));
    assert_eq!(fixture.state.keys.authenticate("k1.k1").map(|(_, team)| team), Ok(TEAM.into()));
    assert!(fixture.state.keys.authenticate("k1.wrong").is_err());
    fixture.apply(Change::KeyWithdraw { id: "k1".into() });
    assert!(fixture.state.keys.authenticate("k1.k1").is_err());
}

/// Two operators move the same instance to different pools. Only the first move takes
/// place; the second is refused while the first is in progress, and afterwards because
/// the instance's epoch has changed.
#[test]
fn of_two_moves_the_second_is_refused() {
    let mut fixture = StateFixture::new();
    fixture.apply(set("", setting::BUDGET, "5"));
    fixture.apply(instance("w1", "za", "r1", "a"));
    let epoch = fixture.state.fleet.get("w1").map_or(0, |it| it.epoch);
    let move_permit = |to: &str| Change::Permit {
        id: "w1".into(),
        epoch,
        purpose: Purpose::Move { to: to.into() },
    };
    assert!(matches!(fixture.apply(move_permit("b")), RecordOutcome::Accepted(_)));
    let second = fixture.apply(move_permit("c"));
    assert!(
        matches!(
            second,
            RecordOutcome::Refused(Refusal::Fleet(oriolewall::fleet::Error::Busy { .. }))
        ),
        "{second:?}"
    );
    fixture.apply(Change::Release { id: "w1".into() });
    assert_eq!(fixture.state.fleet.get("w1").map(|it| it.pool.to_string()), Some("b".to_owned()));
    let late = fixture.apply(move_permit("c"));
    assert!(
        matches!(late, RecordOutcome::Refused(Refusal::Fleet(oriolewall::fleet::Error::Epoch { .. }))),
        "{late:?}"
    );
}

/// Instances that are down count against the budget, so after a rack is lost no permit
/// is granted until an instance is up again.
#[test]
fn permits_stop_at_the_budget_after_a_rack_is_lost() {
    let mut fixture = StateFixture::new();
    fixture.apply(set("pool/a", setting::BUDGET, "3"));
    for (index, rack) in ["r1", "r1", "r2", "r2", "r3", "r3"].iter().enumerate() {
        fixture.apply(instance(&format!("w{index}"), "za", rack, "a"));
    }
    let permit = |fixture: &mut StateFixture, id: &str| {
        let epoch = fixture.state.fleet.get(id).map_or(0, |it| it.epoch);
        fixture.apply(Change::Permit {
            id: id.into(),
            epoch,
            purpose: Purpose::Maintain,
        })
    };
    assert!(matches!(permit(&mut fixture, "w0"), RecordOutcome::Accepted(_)));
    fixture.apply(Change::Observe {
        id: "w2".into(),
        health: Health::Down,
    });
    fixture.apply(Change::Observe {
        id: "w3".into(),
        health: Health::Down,
    });
    let refused = permit(&mut fixture, "w4");
    assert!(
        matches!(
            refused,
            RecordOutcome::Refused(Refusal::Fleet(oriolewall::fleet::Error::Budget { used: 3, budget: 3, .. }))
        ),
        "{refused:?}"
    );
    fixture.apply(Change::Observe {
        id: "w2".into(),
        health: Health::Up,
    });
    assert!(matches!(permit(&mut fixture, "w4"), RecordOutcome::Accepted(_)));
}

/// Grants, transfers, cap changes and fences in any order: the allotments exceed a cap
/// only if it was lowered below what was held already, and no record increases the
/// excess. The usable slots never exceed the cap.
#[test]
fn allotments_never_grow_above_the_cap() {
    check!()
        .with_type::<Vec<(u8, u8, u8)>>()
        .with_iterations(ITERATIONS)
        .for_each(|steps| {
            let mut fixture = StateFixture::new();
            for id in ["e0", "e1", "e2"] {
                fixture.apply(join(id, "za"));
            }
            fixture.apply(set(TEAM, setting::CAP, "10"));
            for step in steps {
                let before = fixture.state.ledger.total_held(TEAM);
                fixture.apply(allotment_change(*step));
                let after = fixture.state.ledger.total_held(TEAM);
                assert!(
                    after <= before.max(fixture.state.cap(TEAM)),
                    "{before} became {after} with cap {}",
                    fixture.state.cap(TEAM)
                );
                let usable: u64 = ["e0", "e1", "e2"]
                    .iter()
                    .map(|it| fixture.state.ledger.usable(TEAM, it, fixture.state.cap(TEAM)))
                    .sum();
                assert!(usable <= fixture.state.cap(TEAM));
            }
        });
}

fn allotment_change((kind, member_index, slots): (u8, u8, u8)) -> Change {
    let member = |it: u8| format!("e{}", it % 3).as_str().into();
    let slots = u64::from(slots % 16);
    match kind % 5 {
        0 => Change::Grant {
            team: TEAM.into(),
            member: member(member_index),
            slots,
        },
        1 => Change::Transfer {
            team: TEAM.into(),
            from: member(member_index),
            to: Some(member(member_index / 3)),
            slots,
        },
        2 => Change::Transfer {
            team: TEAM.into(),
            from: member(member_index),
            to: None,
            slots,
        },
        3 => set(TEAM, setting::CAP, &slots.to_string()),
        _ => Change::Fence { id: member(member_index) },
    }
}

/// Permits, failures, recoveries and releases in any order: a permit is granted only
/// within the budget of its pool, and every instance stays in exactly one pool.
#[test]
fn permits_stay_within_the_budget_in_any_order_of_records() {
    check!().with_type::<Vec<(u8, u8)>>().with_iterations(ITERATIONS).for_each(|steps| {
        let mut fixture = StateFixture::new();
        fixture.apply(set("", setting::BUDGET, "2"));
        for index in 0..6 {
            fixture.apply(instance(&format!("w{index}"), "za", "r1", "a"));
        }
        for (kind, instance_index) in steps {
            let id = format!("w{}", instance_index % 6);
            let epoch = fixture.state.fleet.get(&id).map_or(0, |it| it.epoch);
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
            let pool = fixture.state.fleet.get(&id).map(|it| it.pool.clone()).unwrap_or_default();
            let is_permit = matches!(change, Change::Permit { .. });
            let outcome = fixture.apply(change);
            if is_permit && matches!(outcome, RecordOutcome::Accepted(_)) {
                let budget = fixture.state.budget(&pool).limit(fixture.state.fleet.pool_size(&pool));
                assert!(fixture.state.fleet.disrupted_count(&pool) <= budget);
            }
            assert_eq!(fixture.state.fleet.pool_size("a") + fixture.state.fleet.pool_size("b"), 6);
        }
    });
}

/// Arbitrary bytes in the log, in a message or in a snapshot must give an error, or a
/// payload that can be applied, but never a panic.
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

/// The nearest node on the path decides, the origin of the value is reported, and a
/// value outside the accepted ones is refused.
#[test]
fn a_value_applies_below_its_node_unless_overridden() {
    let mut fixture = StateFixture::new();
    fixture.apply(set("org", setting::CAP, "5"));
    fixture.apply(set("org/a", setting::CAP, "7"));
    assert_eq!(fixture.state.cap("org/a/t"), 7);
    assert_eq!(fixture.state.cap("org/b/u"), 5);
    let found = fixture.state.tree.explain("org/a/t", setting::CAP);
    assert_eq!(
        (found.node.as_deref(), found.offset, found.author.as_deref()),
        (Some("org/a"), Some(1), Some("test"))
    );
    assert!(matches!(
        fixture.apply(set("org/a", setting::CAP, "many")),
        RecordOutcome::Refused(Refusal::Tree(_))
    ));
}
