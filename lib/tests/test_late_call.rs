//! Tests of calls that are delayed and carried out by a later incarnation of their worker.

use oriolewall::order::{OrderOutcome, StartOrder, WorkerStatus};
use oriolewall::worker::ListedWorker;
use testutils::owner::{OwnerFixture, step, submit, worker};

/// An owner whose first start order was not answered, expired and was given up, while the worker
/// went on to answer status requests.
fn owner_with_expired_order(workers: Vec<ListedWorker>) -> (OwnerFixture, StartOrder) {
    let mut fixture = OwnerFixture::with_observed_workers(workers);
    fixture.add_request("job", submit("", vec![step(1, 1000)]));
    fixture.advance_ms(100);
    let start = fixture.starts[0].clone();
    fixture.advance_ms(900);
    fixture.answer_start(&start, OrderOutcome::Lost);
    for clock_ms in [1500, 2000, 2500] {
        fixture.advance_ms(200);
        fixture.report_status(&start.worker, clock_ms, vec![], vec![]);
    }
    fixture.advance_ms(200);
    assert_eq!(fixture.starts.len(), 2, "the first order was given up");
    (fixture, start)
}

#[test]
fn an_order_that_was_given_up_is_fenced_at_the_first_call_to_the_next_incarnation() {
    let (fixture, start) = owner_with_expired_order(vec![worker("w1")]);
    // Any call may be the first one, so each has to carry a higher token.
    let next = &fixture.starts[1];
    assert!(
        start.contact < next.contact,
        "an incarnation that knows contact {:?} only carries out the order of contact {:?}",
        next.contact,
        start.contact
    );
}

#[test]
fn calls_to_an_earlier_incarnation_are_fenced_after_a_restart() {
    let mut fixture = OwnerFixture::with_observed_workers(vec![worker("w1")]);
    fixture.add_request("job", submit("", vec![step(1, 1000)]));
    fixture.advance_ms(100);
    fixture.confirm_start(0, 650);
    let key = fixture.starts[0].key.clone();
    fixture.report_status("w1", 700, vec![key], vec![]);
    fixture.advance_ms(100);
    let before = fixture.contact("w1");
    fixture.report_incarnation("w1", 2000, 10, vec![], vec![]);
    fixture.advance_ms(50);
    assert!(before < fixture.contact("w1"), "calls of contact {before:?} may still arrive");
}

#[test]
fn an_answer_from_before_the_clock_at_sending_shows_a_restart() {
    let mut fixture = OwnerFixture::with_observed_workers(vec![worker("w1")]);
    fixture.add_request("job", submit("", vec![step(1, 1000)]));
    // The status request in flight may reach the new incarnation late and acknowledge its ends.
    fixture.advance_ms(200);
    let before = fixture.contact("w1");
    fixture.confirm_start(0, 20);
    fixture.advance_ms(10);
    assert!(before < fixture.contact("w1"), "calls of contact {before:?} may still arrive");
}

#[test]
fn an_unanswered_start_is_settled_while_an_earlier_status_request_waits() {
    let mut fixture = OwnerFixture::with_observed_workers(vec![worker("w1"), worker("w2")]);
    fixture.add_request("job", submit("", vec![step(1, 1000)]));
    fixture.advance_ms(100);
    let start = fixture.starts[0].clone();
    fixture.advance_ms(900);
    fixture.answer_start(&start, OrderOutcome::Lost);
    let earlier = fixture.contact(&start.worker);
    fixture.advance_ms(20);
    assert!(earlier < fixture.contact(&start.worker), "the worker is asked again");
    fixture.report_status(&start.worker, 1500, vec![], vec![]);
    fixture.advance_ms(50);
    assert_eq!(fixture.starts.len(), 2, "the worker refuses the first order from now on");
}

#[test]
fn an_answer_under_an_earlier_contact_ends_no_run_of_the_next_incarnation() {
    let mut fixture = OwnerFixture::with_observed_workers(vec![worker("w1"), worker("w2")]);
    fixture.add_request("job", submit("", vec![step(1, 1000)]));
    fixture.advance_ms(200);
    let start = fixture.starts[0].clone();
    let earlier = fixture.contact(&start.worker);
    fixture.answer_start(&start, OrderOutcome::Lost);
    for clock_ms in [10, 60] {
        fixture.advance_ms(50);
        fixture.report_incarnation(&start.worker, 2000, clock_ms, vec![start.key.clone()], vec![]);
    }
    let answer = WorkerStatus {
        clock_ms: 800,
        started_ms: 1000,
        ..WorkerStatus::default()
    };
    fixture.owner.status_received(fixture.now, &start.worker, earlier, answer);
    fixture.advance_ms(100);
    assert_eq!(fixture.starts.len(), 1, "the run is in progress");
}
