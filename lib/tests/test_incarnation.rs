//! Tests of orders and leases that outlive the incarnation of the worker, or the ownership, for
//! which they were made.

use std::sync::Arc;
use std::time::Duration;

use oriolewall::order::{ContactId, OrderOutcome, Refusal, RunOutcome, WorkerStatus};
use oriolewall::query::JobStatus;
use oriolewall::worker::RunKey;
use testutils::owner::{LEASE, OwnerFixture, RENEWAL_WINDOW, run_end, step, submit, worker};

/// An owner with two workers whose start order to the first of the returned workers was sent
/// and not answered.
fn owner_with_unanswered_order() -> (OwnerFixture, String, String) {
    let mut fixture = OwnerFixture::with_observed_workers(vec![worker("w1"), worker("w2")]);
    fixture.add_request("job", submit("", vec![step(1, 1000)]));
    fixture.advance_ms(100);
    let ordered = fixture.starts[0].worker.to_string();
    let other = if ordered == "w1" { "w2" } else { "w1" };
    (fixture, ordered, other.to_owned())
}

/// Lists the worker with another start time.
fn list_start_time(fixture: &mut OwnerFixture, id: &str, started_ms: u64) {
    let listed = fixture.workers.iter_mut().find(|it| &*it.id == id).unwrap();
    listed.started_ms = started_ms;
    fixture.refresh_config();
}

/// A renewal for the clock of an earlier incarnation may have given `silent` the longest lease, so
/// no run starts on `other` before that has ended.
fn assert_waits_for_longest_lease(fixture: &mut OwnerFixture, silent: &str, other: &str) {
    let longest = (2 * LEASE).as_millis() as u64;
    for _ in 0..10 {
        fixture.advance_ms(longest / 10);
        fixture.fail_status(silent, OrderOutcome::Lost);
        fixture.report_status(other, 100_000, vec![], vec![]);
        assert!(fixture.starts.is_empty(), "{:?}: the lease may be valid", fixture.now.mono);
    }
}

#[test]
fn no_second_run_starts_while_the_order_of_the_first_may_reach_a_new_incarnation() {
    let (mut fixture, ordered, _) = owner_with_unanswered_order();
    let key = fixture.starts[0].key.clone();
    list_start_time(&mut fixture, &ordered, 2000);
    fixture.advance_ms(100);
    assert_eq!(fixture.starts.len(), 1, "the order may still be on its way");
    fixture.report_incarnation(&ordered, 2000, 10, vec![key], vec![]);
    fixture.advance_ms(100);
    assert_eq!(fixture.starts.len(), 1, "the new incarnation carried the order out");
}

#[test]
fn an_order_to_an_earlier_incarnation_is_settled_by_an_answer_under_a_later_contact() {
    let (mut fixture, ordered, _) = owner_with_unanswered_order();
    // The answer that shows the restart may have been given before the order arrived.
    fixture.report_incarnation(&ordered, 2000, 10, vec![], vec![]);
    fixture.advance_ms(50);
    assert_eq!(fixture.starts.len(), 1, "the order may still be on its way");
    fixture.report_incarnation(&ordered, 2000, 60, vec![], vec![]);
    fixture.advance_ms(100);
    assert_eq!(fixture.starts.len(), 2, "the worker refuses the order from now on");
}

#[test]
fn a_paused_owner_sends_no_start_after_its_ownership_ran_out() {
    let mut fixture = OwnerFixture::with_observed_workers(vec![worker("w1")]);
    fixture.confirms_commits = false;
    fixture.add_request("job", submit("", vec![step(1, 1000)]));
    fixture.advance_ms(100);
    assert_eq!(fixture.commits, 1);
    fixture.pause_ms(RENEWAL_WINDOW.as_millis() as u64 + 100);
    fixture.owner.commit_confirmed(fixture.now);
    fixture.advance_ms(10);
    assert!(fixture.starts.is_empty(), "a later owner may have placed the task elsewhere");
}

#[test]
fn a_start_expires_with_the_ownership() {
    let mut fixture = OwnerFixture::with_observed_workers(vec![worker("w1")]);
    fixture.confirms_commits = false;
    fixture.add_request("job", submit("", vec![step(1, 1000)]));
    fixture.advance_ms(100);
    fixture.pause_ms(RENEWAL_WINDOW.as_millis() as u64 - 400);
    fixture.owner.commit_confirmed(fixture.now);
    fixture.advance_ms(10);
    let elapsed_ms = (fixture.now.mono - Duration::from_millis(100_050)).as_millis() as u64;
    // The workers reported at 50 ms, when their clocks showed 500 ms.
    assert!(
        fixture.starts[0].expires_ms <= 500 + elapsed_ms + 400,
        "{}",
        fixture.starts[0].expires_ms
    );
}

#[test]
fn a_new_owner_waits_for_the_longest_lease_of_a_worker_that_restarted_shortly_before() {
    let (mut fixture, ordered, other) = owner_with_unanswered_order();
    let started_ms = fixture.now.wall_ms();
    list_start_time(&mut fixture, &ordered, started_ms);
    fixture.replace_owner();
    fixture.refresh_config();
    fixture.advance_ms(20);
    fixture.report_status(&other, 900, vec![], vec![]);
    assert_waits_for_longest_lease(&mut fixture, &ordered, &other);
}

#[test]
fn the_longest_lease_counts_although_the_list_shows_an_earlier_incarnation() {
    let (mut fixture, ordered, other) = owner_with_unanswered_order();
    let key = fixture.starts[0].key.clone();
    fixture.replace_owner();
    fixture.refresh_config();
    fixture.advance_ms(20);
    let started_ms = fixture.now.wall_ms();
    fixture.report_status(&other, 900, vec![], vec![]);
    fixture.report_incarnation(&ordered, started_ms, 100, vec![key], vec![]);
    assert_waits_for_longest_lease(&mut fixture, &ordered, &other);
}

#[test]
fn a_worker_whose_start_time_goes_back_has_restarted() {
    let (mut fixture, ordered, _) = owner_with_unanswered_order();
    fixture.confirm_start(0, 650);
    // The time of day of its machine was set back before it restarted.
    fixture.report_incarnation(&ordered, 400, 10, vec![], vec![]);
    fixture.advance_ms(50);
    fixture.report_incarnation(&ordered, 400, 60, vec![], vec![]);
    fixture.advance_ms(100);
    assert_eq!(fixture.starts.len(), 2, "the run ended with its incarnation");
}

#[test]
fn an_entry_with_another_start_time_ends_no_run_of_a_worker_that_answers() {
    for started_ms in [400, 2000] {
        let (mut fixture, ordered, other) = owner_with_unanswered_order();
        let key = fixture.starts[0].key.clone();
        fixture.confirm_start(0, 650);
        fixture.report_status(&ordered, 700, vec![key.clone()], vec![]);
        // Written by an earlier incarnation, or by another writer.
        list_start_time(&mut fixture, &ordered, started_ms);
        fixture.advance_ms(50);
        fixture.report_status(&ordered, 800, vec![key.clone()], vec![]);
        fixture.report_status(&other, 800, vec![], vec![]);
        fixture.advance_ms(100);
        assert_eq!(fixture.starts.len(), 1, "the run goes on; entry {started_ms}");
    }
}

#[test]
fn a_new_owner_waits_for_the_longest_lease_when_the_entry_shows_the_restart_later() {
    let (mut fixture, ordered, other) = owner_with_unanswered_order();
    fixture.replace_owner();
    fixture.refresh_config();
    fixture.advance_ms(20);
    fixture.report_status(&other, 900, vec![], vec![]);
    // The entry of the new incarnation is there 200 ms after the takeover.
    fixture.advance_ms(200);
    let started_ms = fixture.now.wall_ms();
    list_start_time(&mut fixture, &ordered, started_ms);
    assert_waits_for_longest_lease(&mut fixture, &ordered, &other);
}

#[test]
fn a_new_owner_waits_for_the_longest_lease_when_the_entry_comes_later() {
    let (mut fixture, ordered, other) = owner_with_unanswered_order();
    fixture.replace_owner();
    let all = fixture.workers.clone();
    fixture.workers.retain(|it| *it.id != *ordered);
    fixture.refresh_config();
    fixture.advance_ms(20);
    fixture.report_status(&other, 900, vec![], vec![]);
    fixture.advance_ms(200);
    fixture.workers = all;
    let started_ms = fixture.now.wall_ms();
    list_start_time(&mut fixture, &ordered, started_ms);
    assert_waits_for_longest_lease(&mut fixture, &ordered, &other);
}

#[test]
fn a_record_of_silence_from_before_the_restart_does_not_shorten_the_longest_lease() {
    let (mut fixture, ordered, other) = owner_with_unanswered_order();
    let start = fixture.starts[0].clone();
    fixture.answer_start(&start, OrderOutcome::Lost);
    fixture.advance_ms(50);
    assert!(fixture.stored.keys().any(|it| it.starts_with("w/")), "silence is recorded");
    // The worker restarts; the owner is replaced before it learns of that.
    fixture.advance_ms(100);
    let started_ms = fixture.now.wall_ms();
    fixture.replace_owner();
    list_start_time(&mut fixture, &ordered, started_ms);
    fixture.advance_ms(20);
    fixture.report_status(&other, 900, vec![], vec![]);
    assert_waits_for_longest_lease(&mut fixture, &ordered, &other);
}

#[test]
fn no_second_run_starts_while_a_worker_lists_another_run_of_the_task() {
    let (mut fixture, ordered, other) = owner_with_unanswered_order();
    let start = fixture.starts[0].clone();
    fixture.answer_start(&start, OrderOutcome::Lost);
    fixture.fail_status(&ordered, OrderOutcome::Lost);
    fixture.advance_ms(410);
    // Refuses the order from now on; the next incarnation does not, and carries it out.
    fixture.report_status(&ordered, 1200, vec![], vec![]);
    fixture.report_incarnation(&ordered, 2000, 10, vec![start.key], vec![]);
    fixture.report_status(&other, 1200, vec![], vec![]);
    for _ in 0..10 {
        fixture.advance_ms(100);
        assert_eq!(
            fixture.starts.len(),
            1,
            "the owner knows that run 1 is in progress; stops {:?}",
            fixture.stops
        );
    }
}

/// An owner whose only worker started again at 2000 and has listed the run of the only task
/// since. Also returns the contact under which the first incarnation was called.
fn owner_with_run_on_second_incarnation() -> (OwnerFixture, RunKey, ContactId) {
    let mut fixture = OwnerFixture::with_observed_workers(vec![worker("w1")]);
    let earlier = fixture.contact("w1");
    list_start_time(&mut fixture, "w1", 2000);
    fixture.advance_ms(50);
    fixture.report_incarnation("w1", 2000, 10, vec![], vec![]);
    fixture.add_request("job", submit("", vec![step(1, 1000)]));
    fixture.advance_ms(100);
    let key = fixture.starts[0].key.clone();
    fixture.report_incarnation("w1", 2000, 110, vec![key.clone()], vec![]);
    fixture.advance_ms(100);
    (fixture, key, earlier)
}

#[test]
fn an_answer_that_an_earlier_incarnation_gave_ends_no_run_of_the_present_one() {
    let (mut fixture, key, earlier) = owner_with_run_on_second_incarnation();
    let present = fixture.contacts.insert(Arc::from("w1"), earlier).unwrap();
    fixture.report_incarnation("w1", 1000, 900, vec![], vec![]);
    fixture.contacts.insert(Arc::from("w1"), present);
    fixture.advance_ms(50);
    fixture.report_incarnation("w1", 2000, 260, vec![key], vec![]);
    fixture.advance_ms(100);
    assert_eq!(fixture.starts.len(), 1, "the run is in progress");
    assert!(fixture.stops.is_empty(), "{:?}", fixture.stops);
}

#[test]
fn a_restart_that_an_answer_under_an_earlier_contact_shows_is_noticed_under_the_present_one() {
    let (mut fixture, _, earlier) = owner_with_run_on_second_incarnation();
    let present = fixture.contacts.insert(Arc::from("w1"), earlier).unwrap();
    fixture.report_incarnation("w1", 3000, 10, vec![], vec![]);
    fixture.contacts.insert(Arc::from("w1"), present);
    let requests = fixture.status_requests.len();
    fixture.advance_ms(100);
    assert_eq!(
        requests,
        fixture.status_requests.len(),
        "a request under the present contact is in flight"
    );
    list_start_time(&mut fixture, "w1", 3000);
    fixture.report_incarnation("w1", 3000, 110, vec![], vec![]);
    fixture.advance_ms(100);
    fixture.report_incarnation("w1", 3000, 210, vec![], vec![]);
    fixture.advance_ms(100);
    assert_eq!(fixture.starts.len(), 2, "the run ended with its incarnation");
}

#[test]
fn an_answer_to_an_order_of_an_earlier_contact_renews_no_lease() {
    // A stop was answered late, and the leases of a worker that no longer answers were renewed.
    let (mut fixture, key, _) = owner_with_run_on_second_incarnation();
    let earlier = fixture.contact("w1");
    fixture.fail_status("w1", OrderOutcome::Lost);
    fixture
        .owner
        .order_answered(&Arc::from("w1"), earlier, OrderOutcome::Done { clock_ms: 250 });
    let requests = fixture.status_requests.len();
    fixture.advance_ms(450);
    let sent = &fixture.status_requests[requests..];
    assert!(!sent.is_empty() && sent.iter().all(|it| it.2.is_none()), "{key:?}: {sent:?}");
}

#[test]
fn a_run_that_a_new_incarnation_has_done_is_not_repeated_for_a_later_run_that_it_does_not_list() {
    // The new owner discarded the end, as it expected the later run there, and placed a third one.
    let mut fixture = OwnerFixture::with_observed_workers(vec![worker("w1")]);
    fixture.add_request("job", submit("", vec![step(1, 1000)]));
    fixture.advance_ms(100);
    let first = fixture.starts[0].clone();
    fixture.answer_start(&first, OrderOutcome::Refused(Refusal::Late));
    fixture.advance_ms(100);
    assert_eq!(fixture.starts.len(), 2);
    fixture.replace_owner();
    fixture.refresh_config();
    fixture.advance_ms(20);
    let end = run_end(1, &first.key, RunOutcome::Done);
    fixture.report_incarnation("w1", 2000, 4000, vec![], vec![end]);
    list_start_time(&mut fixture, "w1", 2000);
    fixture.advance_ms(100);
    assert!(fixture.starts.is_empty(), "{:?}", fixture.starts);
    assert_eq!(fixture.owner.job_status(&Arc::from("job"), None), Some(JobStatus::Completed));
}

#[test]
fn an_end_whose_later_run_may_be_in_an_unreadable_row_is_not_acknowledged() {
    let mut fixture = OwnerFixture::with_observed_workers(vec![worker("w1")]);
    fixture.add_request("job", submit("", vec![step(1, 1000)]));
    fixture.advance_ms(100);
    let first = fixture.starts[0].clone();
    fixture.answer_start(&first, OrderOutcome::Refused(Refusal::Late));
    fixture.advance_ms(100);
    let end = run_end(1, &first.key, RunOutcome::Done);
    let status = WorkerStatus {
        clock_ms: 5000,
        started_ms: 1000,
        ended: vec![end.clone()],
        has_unreadable_rows: true,
        ..WorkerStatus::default()
    };
    let contact = fixture.contact("w1");
    fixture.owner.status_received(fixture.now, &Arc::from("w1"), contact, status);
    fixture.advance_ms(500);
    assert!(fixture.status_requests.iter().all(|it| it.1 == 0), "{:?}", fixture.status_requests);
    fixture.report_status("w1", 6000, vec![], vec![end]);
    fixture.advance_ms(100);
    assert_eq!(fixture.starts.len(), 2, "{:?}", fixture.starts);
    assert_eq!(fixture.owner.job_status(&Arc::from("job"), None), Some(JobStatus::Completed));
}

#[test]
fn an_owner_that_was_paused_at_its_takeover_renews_no_lease_and_starts_no_run() {
    // It counted its ownership from when it went on, and kept a run alive that the next owner had
    // given up.
    let mut fixture = OwnerFixture::with_observed_workers(vec![worker("w1")]);
    fixture.add_request("job", submit("", vec![step(1, 1000)]));
    fixture.advance_ms(100);
    let key = fixture.starts[0].key.clone();
    fixture.confirm_start(0, 650);
    fixture.replace_owner_paused(RENEWAL_WINDOW);
    fixture.confirms_commits = false;
    fixture.refresh_config();
    fixture.add_request("other", submit("", vec![step(1, 1000)]));
    let requests = fixture.status_requests.len();
    for clock_ms in [5000, 5100] {
        fixture.advance_ms(100);
        fixture.report_status("w1", clock_ms, vec![key.clone()], vec![]);
    }
    fixture.advance_ms(100);
    let sent = &fixture.status_requests[requests..];
    assert!(2 <= sent.len() && sent.iter().all(|it| it.2.is_none()), "{sent:?}");
    assert!(fixture.starts.is_empty(), "{:?}", fixture.starts);
}
