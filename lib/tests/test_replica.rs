//! Replay: gaps, snapshots, regress, peers, and the age of what was seen.

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

fn bed_of(records: u64) -> StateFixture {
    let mut bed = StateFixture::new();
    for index in 0..records {
        bed.apply(set("org/a/t", setting::CAP, &index.to_string()));
    }
    bed
}

#[test]
fn what_was_seen_dates_from_before_the_read_was_sent() {
    let bed = bed_of(3);
    let mut replica = Replica::default();
    replica.apply_read(seconds(5), &bed.read(0)).unwrap();
    assert_eq!(replica.current_as_of(), Some(seconds(5)));
    assert_eq!(replica.age(seconds(7)), Some(seconds(2)));
    // A read that does not reach the tail proves nothing.
    let mut part = bed.read(0);
    part.entries.truncate(1);
    let mut other = Replica::default();
    other.apply_read(seconds(5), &part).unwrap();
    assert_eq!(other.current_as_of(), None);
}

#[test]
fn duplicate_and_reordered_reads_change_nothing() {
    let bed = bed_of(4);
    let mut replica = Replica::default();
    replica.apply_read(seconds(2), &bed.read(0)).unwrap();
    replica.apply_read(seconds(1), &bed.read(0)).unwrap();
    assert_eq!(replica.state(), &bed.state);
    assert_eq!(replica.current_as_of(), Some(seconds(2)));
    let mut hole = bed.read(2);
    hole.from = 3;
    let mut other = Replica::default();
    other.apply_read(seconds(1), &hole).unwrap();
    assert_eq!(other.state().next_offset(), 0);
}

#[test]
fn a_log_that_regressed_is_an_error_and_no_reset() {
    let bed = bed_of(4);
    let mut replica = Replica::default();
    replica.apply_read(seconds(1), &bed.read(0)).unwrap();
    let short = bed_of(2);
    let err = replica.apply_read(seconds(2), &short.read(4)).unwrap_err();
    assert!(matches!(err, Error::Regressed { tail: 2, next: 4 }), "{err}");
    assert_eq!(replica.state(), &bed.state);
    assert_eq!(replica.current_as_of(), Some(seconds(1)));
}

#[test]
fn behind_the_retention_a_snapshot_is_needed() {
    let mut bed = bed_of(5);
    for chunk in snapshot::split(Uuid::from_u128(9), &bed.state.clone()) {
        bed.push(&Payload::Chunk(chunk));
    }
    bed.apply(set("org/a/t", setting::CAP, "99"));
    let mut replica = Replica::default();
    let mut asked = Vec::new();
    while replica.state().next_offset() < bed.state.next_offset() {
        let from = replica.next_read_offset();
        asked.push(from);
        assert!(asked.len() < 5, "the search does not end: {asked:?}");
        replica.apply_read(seconds(1), &bed.read_retained(from, 4)).unwrap();
    }
    assert_eq!(replica.state(), &bed.state);
}

#[test]
fn without_a_snapshot_a_gap_is_not_guessed_over() {
    let bed = bed_of(6);
    let mut replica = Replica::default();
    replica.apply_read(seconds(1), &bed.read_retained(0, 3)).unwrap();
    assert_eq!(replica.state().next_offset(), 0);
    assert_eq!(replica.current_as_of(), None);
}

#[test]
fn a_state_behind_the_replica_is_never_adopted() {
    let bed = bed_of(5);
    let mut replica = Replica::default();
    replica.apply_read(seconds(1), &bed.read(0)).unwrap();
    let old = snapshot::encode(&bed_of(3).state);
    replica.apply_delta(Some(seconds(2)), 3, &Delta::State(old)).unwrap();
    assert_eq!(replica.state(), &bed.state);
}

#[test]
fn a_peer_brings_a_replica_up_to_date_with_its_own_age() {
    let bed = bed_of(5);
    let mut ahead = Replica::default();
    ahead.apply_read(seconds(1), &bed.read(0)).unwrap();
    let mut behind = Replica::default();
    let delta = ahead.delta_from(behind.state().next_offset());
    behind.apply_delta(Some(seconds(9)), 5, &delta).unwrap();
    assert_eq!(behind.state(), &bed.state);
    assert_eq!(behind.current_as_of(), Some(seconds(9)));
    // A peer that is behind proves nothing.
    let mut alone = Replica::default();
    alone
        .apply_delta(
            Some(seconds(9)),
            5,
            &Delta::Entries {
                from: 0,
                entries: Vec::new(),
            },
        )
        .unwrap();
    assert_eq!(alone.current_as_of(), None);
}

#[test]
fn a_damaged_snapshot_is_refused() {
    let mut chunks = snapshot::split(Uuid::from_u128(1), &bed_of(3).state);
    chunks[0].bytes = chunks[0].bytes.slice(1..);
    let mut collector = snapshot::Collector::default();
    assert!(matches!(
        collector.add(chunks.remove(0)),
        Err(snapshot::Error::ChecksumMismatch { .. })
    ));
}
