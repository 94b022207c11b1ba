//! Replicas: gaps, snapshots, a log that lost entries, catching up with peers, and the
//! age of the view.

use std::time::Duration;

use oriolewall::record::Payload;
use oriolewall::replica::{Delta, Error, Replica};
use oriolewall::setting;
use oriolewall::snapshot;
use testutils::{StateFixture, set};
use uuid::Uuid;

fn seconds(value: u64) -> Duration {
    Duration::from_secs(value)
}

/// A fixture after this number of records, each of which changes the state.
fn fixture_with(records: u64) -> StateFixture {
    let mut fixture = StateFixture::new();
    for index in 0..records {
        fixture.apply(set("org/a/t", setting::CAP, &index.to_string()));
    }
    fixture
}

/// A view is as old as the read was sent, not as its result arrived: an entry accepted
/// in between may be missing from the result.
#[test]
fn the_age_of_the_view_counts_from_when_the_read_was_sent() {
    let fixture = fixture_with(3);
    let mut replica = Replica::default();
    replica.apply_read(seconds(5), &fixture.read(0)).unwrap();
    assert_eq!(replica.current_as_of(), Some(seconds(5)));
    assert_eq!(replica.age(seconds(7)), Some(seconds(2)));
    // A read that does not reach the tail says nothing about the age.
    let mut part = fixture.read(0);
    part.entries.truncate(1);
    let mut other = Replica::default();
    other.apply_read(seconds(5), &part).unwrap();
    assert_eq!(other.current_as_of(), None);
}

/// Reads that arrive twice, out of order or with a gap must neither change the state
/// nor make the view look older or newer.
#[test]
fn duplicate_and_reordered_reads_change_nothing() {
    let fixture = fixture_with(4);
    let mut replica = Replica::default();
    replica.apply_read(seconds(2), &fixture.read(0)).unwrap();
    replica.apply_read(seconds(1), &fixture.read(0)).unwrap();
    assert_eq!(replica.state(), &fixture.state);
    assert_eq!(replica.current_as_of(), Some(seconds(2)));
    let mut gap = fixture.read(2);
    gap.from = 3;
    let mut other = Replica::default();
    other.apply_read(seconds(1), &gap).unwrap();
    assert_eq!(other.state().next_offset(), 0);
}

/// A log whose tail is before entries already applied has lost them. The replica must
/// report that and keep its state.
#[test]
fn a_log_that_lost_entries_is_an_error_and_keeps_the_state() {
    let fixture = fixture_with(4);
    let mut replica = Replica::default();
    replica.apply_read(seconds(1), &fixture.read(0)).unwrap();
    let shorter = fixture_with(2);
    let err = replica.apply_read(seconds(2), &shorter.read(4)).unwrap_err();
    assert!(matches!(err, Error::Regressed { tail: 2, next: 4 }), "{err}");
    assert_eq!(replica.state(), &fixture.state);
    assert_eq!(replica.current_as_of(), Some(seconds(1)));
}

/// A replica whose next entry the log no longer retains finds the chunks of a snapshot
/// and continues from there.
#[test]
fn a_replica_behind_the_retention_continues_from_a_snapshot() {
    let mut fixture = fixture_with(5);
    for chunk in snapshot::split(Uuid::from_u128(9), &fixture.state.clone()) {
        fixture.push(&Payload::Chunk(chunk));
    }
    fixture.apply(set("org/a/t", setting::CAP, "99"));
    let mut replica = Replica::default();
    let mut offsets_read = Vec::new();
    while replica.state().next_offset() < fixture.state.next_offset() {
        let from = replica.next_read_offset();
        offsets_read.push(from);
        assert!(
            offsets_read.len() < 5,
            "the search for a snapshot does not end; offsets read: {offsets_read:?}"
        );
        replica.apply_read(seconds(1), &fixture.read_retained(from, 4)).unwrap();
    }
    assert_eq!(replica.state(), &fixture.state);
}

/// Without a snapshot, a replica must not skip the entries that the log dropped.
#[test]
fn dropped_entries_are_not_skipped_without_a_snapshot() {
    let fixture = fixture_with(6);
    let mut replica = Replica::default();
    replica.apply_read(seconds(1), &fixture.read_retained(0, 3)).unwrap();
    assert_eq!(replica.state().next_offset(), 0);
    assert_eq!(replica.current_as_of(), None);
}

/// A peer may send a state that is older than the replica's own.
#[test]
fn a_state_behind_the_replica_is_never_adopted() {
    let fixture = fixture_with(5);
    let mut replica = Replica::default();
    replica.apply_read(seconds(1), &fixture.read(0)).unwrap();
    let old = snapshot::encode(&fixture_with(3).state);
    replica.apply_delta(Some(seconds(2)), 3, &Delta::State(old)).unwrap();
    assert_eq!(replica.state(), &fixture.state);
}

/// Entries from a peer make the replica's view as recent as the peer's, but only if the
/// replica then has everything that the peer has.
#[test]
fn a_replica_catches_up_with_a_peer_and_takes_its_age() {
    let fixture = fixture_with(5);
    let mut ahead = Replica::default();
    ahead.apply_read(seconds(1), &fixture.read(0)).unwrap();
    let mut behind = Replica::default();
    let delta = ahead.delta_from(behind.state().next_offset());
    behind.apply_delta(Some(seconds(9)), 5, &delta).unwrap();
    assert_eq!(behind.state(), &fixture.state);
    assert_eq!(behind.current_as_of(), Some(seconds(9)));
    // Without the peer's entries, its age says nothing about this replica.
    let mut without_entries = Replica::default();
    without_entries
        .apply_delta(
            Some(seconds(9)),
            5,
            &Delta::Entries {
                from: 0,
                entries: Vec::new(),
            },
        )
        .unwrap();
    assert_eq!(without_entries.current_as_of(), None);
}

#[test]
fn a_damaged_snapshot_is_refused() {
    let mut chunks = snapshot::split(Uuid::from_u128(1), &fixture_with(3).state);
    chunks[0].bytes = chunks[0].bytes.slice(1..);
    let mut collector = snapshot::Collector::default();
    assert!(matches!(
        collector.add(chunks.remove(0)),
        Err(snapshot::Error::ChecksumMismatch { .. })
    ));
}
