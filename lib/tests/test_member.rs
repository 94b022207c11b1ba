//! Ownership of ids over membership changes.

use std::collections::BTreeMap;
use std::time::Duration;

use oriolewall::id::JobId;
use oriolewall::record::Change;
use testutils::{StateFixture, join};
use uuid::Uuid;

const MARGIN: Duration = Duration::from_millis(2_500);

fn job(mint_ms: u64, tail: u8) -> JobId {
    uuid::Builder::from_unix_timestamp_millis(mint_ms, &[tail; 10]).into_uuid()
}

#[test]
fn every_id_has_one_owner_and_few_move() {
    let mut bed = StateFixture::new();
    bed.apply(join("e1", "za"));
    bed.apply(join("e2", "za"));
    let jobs: Vec<JobId> = (0..200).map(|it| job(1, it)).collect();
    let before: Vec<_> = jobs.iter().map(|it| bed.state.roster.owner(it).cloned()).collect();
    bed.apply(join("e3", "zb"));
    let after: Vec<_> = jobs.iter().map(|it| bed.state.roster.owner(it).cloned()).collect();
    let moved = before.iter().zip(&after).filter(|(old, new)| old != new);
    for (_, new) in moved {
        assert_eq!(new.as_deref(), Some("e3"));
    }
    assert!(before.iter().all(Option::is_some));
}

#[test]
fn an_epoch_ends_when_its_end_is_known_not_when_it_was_written() {
    let mut bed = StateFixture::new();
    bed.apply(join("e1", "za"));
    bed.apply(join("e2", "za"));
    let id = (0..=255)
        .map(|it| job(10_000, it))
        .find(|it| bed.state.roster.owner(it).map(|it| &**it) == Some("e1"));
    let id: Uuid = id.expect("e1 owns some id");
    // The record says wall clock 1 000; it is known at 20 000 only.
    bed.apply(Change::Fence { id: "e1".into() });
    let known = BTreeMap::from([(0, 500), (1, 600), (2, 20_000)]);
    let earlier = |mint_ms| bed.state.roster.earlier_owners("e2", &known, &id, mint_ms, MARGIN).len();
    assert_eq!(earlier(10_000), 1);
    assert_eq!(earlier(22_499), 1);
    assert_eq!(earlier(22_500), 0);
}

#[test]
fn an_incarnation_joins_once_and_a_fenced_one_takes_nothing() {
    let mut bed = StateFixture::new();
    bed.apply(join("e1", "za"));
    let refused = |verdict| matches!(verdict, oriolewall::state::RecordOutcome::Refused(_));
    assert!(refused(bed.apply(join("e1", "za"))));
    bed.apply(Change::Fence { id: "e1".into() });
    assert!(!bed.state.roster.is_active("e1"));
    assert!(refused(bed.apply(Change::Grant {
        team: "org/a/t".into(),
        member: "e1".into(),
        slots: 1
    })));
    assert!(refused(bed.apply(Change::Settle {
        ids: vec!["e1".into()],
        adopter: "e1".into(),
        adopted: BTreeMap::new()
    })));
}
