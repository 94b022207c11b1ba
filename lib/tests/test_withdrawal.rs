//! Orders that are withdrawn while they wait to be sent.

use oriolewall::job_record::Request;
use oriolewall::order::{OrderOutcome, Refusal, StartOrder};
use testutils::owner::{OwnerFixture, step, submit, worker};

/// Creates an owner that has ordered the start of the only task of a job on its only worker.
fn ordered() -> (OwnerFixture, StartOrder) {
    let mut fixture = OwnerFixture::with_observed_workers(vec![worker("w1")]);
    fixture.add_request("job", submit("", vec![step(1, 1000)]));
    fixture.advance_ms(100);
    let start = fixture.starts[0].clone();
    assert!(!start.withdrawal.is_withdrawn());
    (fixture, start)
}

#[test]
fn a_start_is_withdrawn_when_its_job_is_cancelled() {
    // UNASKED: an order that waited for a connection was sent after its owner had read the cancel.
    let (mut fixture, start) = ordered();
    let cancel = Request::Cancel {
        at_ms: 0,
        team: None,
        addressee: None,
    };
    fixture.add_request("job", cancel);
    assert!(start.withdrawal.is_withdrawn());
    fixture.answer_start(&start, OrderOutcome::Refused(Refusal::Withdrawn));
    fixture.advance_ms(500);
    assert_eq!(fixture.starts.len(), 1);
}

#[test]
fn a_start_is_withdrawn_when_its_contact_ends() {
    // TWICE: the next incarnation of the worker carried it out after its task was placed elsewhere.
    let (mut fixture, start) = ordered();
    fixture.advance_ms(100);
    fixture.fail_status("w1", OrderOutcome::Lost);
    assert!(start.withdrawal.is_withdrawn());
}

#[test]
fn a_withdrawn_start_is_placed_again() {
    let (mut fixture, start) = ordered();
    fixture.answer_start(&start, OrderOutcome::Refused(Refusal::Withdrawn));
    fixture.advance_ms(100);
    assert_eq!(fixture.starts.len(), 2);
    assert_eq!(fixture.starts[1].key.run, 2);
    assert!(!fixture.starts[1].withdrawal.is_withdrawn());
}

#[test]
fn a_start_stays_valid_until_it_is_answered() {
    let (mut fixture, start) = ordered();
    fixture.advance_ms(100);
    fixture.report_status("w1", 700, vec![], vec![]);
    fixture.advance_ms(100);
    assert!(!start.withdrawal.is_withdrawn());
    fixture.answer_start(&start, OrderOutcome::Done { clock_ms: 800 });
    fixture.report_status("w1", 900, vec![start.key.clone()], vec![]);
    assert!(!start.withdrawal.is_withdrawn());
}

#[test]
fn a_status_request_is_withdrawn_when_its_contact_ends() {
    // TWICE: an acknowledgement of the earlier incarnation removed an end of the next one.
    let (mut fixture, start) = ordered();
    fixture.advance_ms(100);
    let watch = fixture.status_watches["w1"].clone();
    assert!(!watch.is_withdrawn());
    fixture.answer_start(&start, OrderOutcome::Lost);
    assert!(watch.is_withdrawn());
    fixture.advance_ms(100);
    assert!(!fixture.status_watches["w1"].is_withdrawn(), "the one under the next contact");
}
