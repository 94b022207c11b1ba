//! Tests of ownerships that answers of the group do not confirm.

use oriolewall::tenure::{Claim, Epochs, Tenure, Verdict};

#[test]
fn a_partition_that_was_away_between_two_answers_begins_a_new_tenure() {
    let mut tenure = Tenure::new(5);
    for (generation, since) in [(5, 5), (6, 5), (6, 5), (8, 8), (8, 8), (9, 8), (20, 20)] {
        tenure.extend(generation);
        assert_eq!(tenure.since(), since, "generation {generation}");
    }
}

#[test]
fn the_log_is_asked_at_each_answer_once_another_owner_may_have_held_the_partition() {
    // One answer of the log proved the tenure for good, but an owner in between may set its epoch
    // at any time later.
    let mut claim = Claim::new(5);
    assert_eq!(claim.listed(5), Verdict::Confirmed);
    assert_eq!(claim.listed(8), Verdict::AskLog);
    assert_eq!(claim.listed(8), Verdict::Pending);
    claim.answered();
    assert_eq!(claim.listed(8), Verdict::AskAgain);
    claim.answered();
    assert_eq!(claim.listed(12), Verdict::AskLog);
    assert_eq!(claim.listed(12), Verdict::Pending);
}

#[test]
fn no_two_owners_of_a_partition_have_the_same_epoch() {
    // A leave that was lost gave the partition back at the same generation.
    let mut epochs = Epochs::default();
    assert!(epochs.begin(1, 7));
    assert!(!epochs.begin(1, 7));
    assert!(!epochs.begin(1, 6));
    assert!(epochs.begin(2, 7));
    assert!(epochs.begin(1, 8));
}
