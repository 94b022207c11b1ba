//! Membership of entry instances and ownership of job ids as it changes.

use std::collections::BTreeMap;
use std::time::Duration;

use oriolewall::id::JobId;
use oriolewall::record::Change;
use testutils::{StateFixture, join};
use uuid::Uuid;

const MARGIN: Duration = Duration::from_millis(2_500);

fn job(created_ms: u64, random: u8) -> JobId {
    uuid::Builder::from_unix_timestamp_millis(created_ms, &[random; 10]).into_uuid()
}

/// Every id has an owner, and a join moves ids to the new member only.
#[test]
fn a_join_moves_ids_only_to_the_new_member() {
    let mut fixture = StateFixture::new();
    fixture.apply(join("e1", "za"));
    fixture.apply(join("e2", "za"));
    let jobs: Vec<JobId> = (0..200).map(|it| job(1, it)).collect();
    let before: Vec<_> = jobs.iter().map(|it| fixture.state.roster.owner(it).cloned()).collect();
    fixture.apply(join("e3", "zb"));
    let after: Vec<_> = jobs.iter().map(|it| fixture.state.roster.owner(it).cloned()).collect();
    let moved = before.iter().zip(&after).filter(|(old, new)| old != new);
    for (_, new) in moved {
        assert_eq!(new.as_deref(), Some("e3"));
    }
    assert!(before.iter().all(Option::is_some));
}

/// Guards against jobs that are accepted twice. A fence record may be accepted long
/// after its timestamp, and until then the fenced member accepts jobs as their owner.
/// It must count as an earlier owner until the fence is known, plus the margin.
#[test]
fn a_fenced_owner_counts_until_its_fence_is_known() {
    let mut fixture = StateFixture::new();
    fixture.apply(join("e1", "za"));
    fixture.apply(join("e2", "za"));
    let id = (0..=255)
        .map(|it| job(10_000, it))
        .find(|it| fixture.state.roster.owner(it).map(|it| &**it) == Some("e1"));
    let id: Uuid = id.expect("e1 owns some id");
    // The record's timestamp is 1 000, but it becomes known at 20 000 only.
    fixture.apply(Change::Fence { id: "e1".into() });
    let times = BTreeMap::from([(0, 500), (1, 600), (2, 20_000)]);
    let earlier = |created_ms| fixture.state.roster.earlier_owners("e2", &times, &id, created_ms, MARGIN).len();
    assert_eq!(earlier(10_000), 1);
    assert_eq!(earlier(22_499), 1);
    assert_eq!(earlier(22_500), 0);
}

/// An incarnation joins only once, and a fenced member can neither take slots nor
/// adopt tasks when fenced members are settled.
#[test]
fn an_incarnation_joins_once_and_is_granted_nothing_once_fenced() {
    let mut fixture = StateFixture::new();
    fixture.apply(join("e1", "za"));
    let is_refused = |outcome| matches!(outcome, oriolewall::state::RecordOutcome::Refused(_));
    assert!(is_refused(fixture.apply(join("e1", "za"))));
    fixture.apply(Change::Fence { id: "e1".into() });
    assert!(!fixture.state.roster.is_active("e1"));
    assert!(is_refused(fixture.apply(Change::Grant {
        team: "org/a/t".into(),
        member: "e1".into(),
        slots: 1
    })));
    assert!(is_refused(fixture.apply(Change::Settle {
        ids: vec!["e1".into()],
        adopter: "e1".into(),
        adopted: BTreeMap::new()
    })));
}
