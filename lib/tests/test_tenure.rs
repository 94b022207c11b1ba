//! Tests of ownerships that answers of the group do not confirm.

use oriolewall::tenure::{Claim, Tenure, Verdict};

#[test]
fn a_partition_that_was_away_between_two_answers_begins_a_new_tenure() {
    let mut tenure = Tenure::new(5);
    for (generation, since) in [(5, 5), (6, 5), (6, 5), (8, 8), (8, 8), (9, 8), (20, 20)] {
        tenure.extend(generation);
        assert_eq!(tenure.since(), since, "generation {generation}");
    }
}

#[test]
fn the_group_confirms_no_ownership_until_the_log_has_proven_its_tenure() {
    let mut claim = Claim::new(5);
    assert_eq!(claim.listed(5), Verdict::Confirmed);
    assert_eq!(claim.listed(8), Verdict::AskLog);
    assert_eq!(claim.listed(8), Verdict::Pending);
    claim.question_lost();
    assert_eq!(claim.listed(8), Verdict::AskLog);
    claim.prove(8);
    assert_eq!(claim.listed(8), Verdict::Confirmed);
}

#[test]
fn a_proof_counts_for_the_tenure_in_which_the_log_was_asked() {
    let mut claim = Claim::new(5);
    assert_eq!(claim.listed(8), Verdict::AskLog);
    assert_eq!(claim.listed(12), Verdict::Pending);
    claim.prove(8);
    assert_eq!(claim.listed(12), Verdict::AskLog);
}
