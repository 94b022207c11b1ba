//! Cancels of jobs: their effect, and how long their records stay in the log.

use std::collections::HashSet;
use std::sync::Arc;
use std::time::Duration;

use oriolewall::decision::Decision;
use oriolewall::job_record::{self, JobKey, Request};
use oriolewall::order::RunOutcome;
use oriolewall::query::JobStatus;
use testutils::owner::{OwnerFixture, run_end, step, submit, worker};

#[test]
fn a_cancel_that_was_not_read_stays_in_the_log() {
    // The cancel of a recorded job was removed together with its submission, although the
    // owner had not read it. If the pool changed hands then, the next owner ran the job.
    let mut fixture = OwnerFixture::with_observed_workers(vec![worker("w1")]);
    fixture.add_request("job", submit("", vec![step(1, 1000)]));
    fixture.advance_ms(4000);
    assert_eq!(fixture.removed_requests.len(), 1, "the submission is recorded");
    assert!(fixture.removed_cancels.is_empty(), "the cancel may be in the log, unread");
}

#[test]
fn a_cancel_is_removed_once_the_end_of_its_job_is_recorded() {
    let mut fixture = OwnerFixture::with_observed_workers(vec![worker("w1")]);
    fixture.add_request("job", submit("", vec![step(1, 1000)]));
    fixture.advance_ms(4000);
    fixture.confirms_commits = false;
    fixture.add_request(
        "job",
        Request::Cancel {
            at_ms: 0,
            team: None,
            addressee: None,
        },
    );
    fixture.advance_ms(4000);
    assert!(fixture.removed_cancels.is_empty(), "the end of the job is not in the log");
    fixture.owner.commit_confirmed(fixture.now);
    fixture.advance_ms(4000);
    assert_eq!(fixture.removed_cancels.len(), 1);
    // A repeated cancel changes nothing and is removed as well.
    fixture.add_request(
        "job",
        Request::Cancel {
            at_ms: 0,
            team: None,
            addressee: None,
        },
    );
    fixture.advance_ms(4000);
    assert_eq!(fixture.removed_cancels.len(), 2);
}

#[test]
fn a_cancel_that_is_read_before_its_job_is_removed_with_it() {
    let mut fixture = OwnerFixture::new(vec![]);
    fixture.add_request(
        "job",
        Request::Cancel {
            at_ms: 0,
            team: None,
            addressee: None,
        },
    );
    fixture.add_request("job", submit("", vec![step(1, 1000)]));
    fixture.advance_ms(4000);
    assert_eq!(fixture.removed_cancels.len(), 1);
}

#[test]
fn a_cancel_by_another_team_does_not_replace_an_earlier_one() {
    // Only the last cancel that was read before its job was kept, and it was ignored as that of
    // another team: the job ran although its own team had cancelled it.
    let mut fixture = OwnerFixture::with_observed_workers(vec![worker("w1")]);
    for team in ["own", "other"] {
        let team = Some(Arc::from(team));
        fixture.add_request(
            "job",
            Request::Cancel {
                at_ms: 0,
                team,
                addressee: None,
            },
        );
    }
    fixture.add_request("job", submit("own", vec![step(1, 1000)]));
    fixture.advance_ms(4000);
    assert!(fixture.starts.is_empty());
    assert_eq!(fixture.owner.job_status(&Arc::from("job"), None), Some(JobStatus::Cancelled));
    assert_eq!(fixture.removed_cancels.len(), 2);
}

#[test]
fn cancels_of_different_teams_have_records_of_their_own() {
    let job = JobKey::from("00000000000000a1");
    let cancel = |team: Option<&str>| Request::Cancel {
        at_ms: 0,
        team: team.map(Arc::from),
        addressee: None,
    };
    let requests = [
        submit("own", vec![]),
        cancel(None),
        cancel(Some("own")),
        cancel(Some("other team/&")),
    ];
    let keys: HashSet<String> = requests.iter().map(|it| it.record_key(&job)).collect();
    assert_eq!(keys.len(), requests.len());
    assert!(keys.iter().all(|it| job_record::job_of_record_key(it) == job));
    // The key of an earlier build, which was the same for all teams.
    assert_eq!(job_record::job_of_record_key("00000000000000a1!"), job);
}

#[test]
fn a_cancelled_start_uses_capacity_until_its_order_expires() {
    // Regression (bench cic-oriolewall trouble-3, LIMIT): a worker carried out a start order
    // after the cancel, when its capacity was already given to another task.
    let mut fixture = OwnerFixture::with_observed_workers(vec![worker("w1")]);
    fixture.add_request("job", submit("", vec![step(1, 8000)]));
    fixture.advance_ms(100);
    assert_eq!(fixture.starts.len(), 1);
    fixture.add_request(
        "job",
        Request::Cancel {
            at_ms: 0,
            team: None,
            addressee: None,
        },
    );
    fixture.add_request("next", submit("", vec![step(1, 8000)]));
    fixture.report_status("w1", 700, vec![], vec![]);
    fixture.advance_ms(50);
    assert_eq!(fixture.starts.len(), 1, "the start order may still be carried out");
    fixture.report_status("w1", 2700, vec![], vec![]);
    fixture.advance_ms(50);
    assert_eq!(fixture.starts.len(), 2);
}

#[test]
fn a_cancelled_jobs_tasks_are_stopped_and_never_start_again() {
    let mut fixture = OwnerFixture::with_observed_workers(vec![worker("w1")]);
    fixture.add_request("job", submit("", vec![step(1, 1000)]));
    fixture.advance_ms(100);
    fixture.confirm_start(0, 650);
    fixture.add_request(
        "job",
        Request::Cancel {
            at_ms: 0,
            team: None,
            addressee: None,
        },
    );
    fixture.advance_ms(100);
    let key = fixture.starts[0].key.clone();
    assert_eq!(fixture.stops, vec![key.clone()]);
    fixture.report_status("w1", 900, vec![], vec![run_end(1, &key, RunOutcome::Stopped)]);
    fixture.advance_ms(300);
    assert_eq!(fixture.starts.len(), 1);
    assert_eq!(fixture.owner.job_status(&Arc::from("job"), None), Some(JobStatus::Cancelled));
}

#[test]
fn a_cancel_read_before_its_submission_takes_effect() {
    let mut fixture = OwnerFixture::with_observed_workers(vec![worker("w1")]);
    fixture.add_request(
        "job",
        Request::Cancel {
            at_ms: 0,
            team: None,
            addressee: None,
        },
    );
    fixture.add_request("job", submit("", vec![step(1, 1000)]));
    fixture.advance_ms(300);
    assert!(fixture.starts.is_empty());
}

#[test]
fn nothing_starts_while_a_cancel_may_be_unknown_that_has_to_be_in_effect() {
    // UNASKED: an owner whose reads were not answered went on to start what it knew.
    let mut fixture = OwnerFixture::with_observed_workers(vec![worker("w1")]);
    fixture.owner.set_cancel_time(Duration::from_millis(3000));
    fixture.owner.requests_read(fixture.now.mono);
    fixture.add_request("early", submit("", vec![step(1, 1000)]));
    fixture.advance_ms(2500);
    assert_eq!(fixture.starts.len(), 1);
    fixture.add_request("late", submit("", vec![step(1, 1000)]));
    fixture.advance_ms(100);
    assert_eq!(fixture.starts.len(), 2, "requests up to 2.6 s ago are known");
    let left = fixture.starts[1].send_by.saturating_sub(fixture.now.mono);
    assert!(left <= Duration::from_millis(500), "the order expires with the view: {left:?}");
    fixture.advance_ms(500);
    fixture.add_request("unread", submit("", vec![step(1, 1000)]));
    fixture.advance_ms(2000);
    assert_eq!(fixture.starts.len(), 2);
    fixture.owner.requests_read(fixture.now.mono);
    fixture.advance_ms(100);
    assert_eq!(fixture.starts.len(), 3);
}

#[test]
fn a_start_expires_with_the_view_of_the_cancels_on_the_slowest_clock() {
    // UNASKED: a worker whose clock is 2% slow began a task up to 20 ms after the view had expired.
    let mut fixture = OwnerFixture::with_observed_workers(vec![worker("w1")]);
    fixture.owner.set_cancel_time(Duration::from_millis(3000));
    fixture.owner.requests_read(fixture.now.mono);
    fixture.advance_ms(2600);
    fixture.add_request("job", submit("", vec![step(1, 1000)]));
    fixture.advance_ms(50);
    // The clock showed 500 ms when the view began, and shows this when it ends.
    let view_ends_ms = 500 + 3000 * 98 / 100;
    assert!(fixture.starts[0].expires_ms <= view_ends_ms, "{}", fixture.starts[0].expires_ms);
}

#[test]
fn an_owner_logs_when_it_holds_starts_and_how_old_the_view_of_an_order_is() {
    let mut fixture = OwnerFixture::with_observed_workers(vec![worker("w1")]);
    fixture.owner.set_cancel_time(Duration::from_millis(3000));
    fixture.owner.requests_read(fixture.now.mono);
    fixture.advance_ms(2000);
    fixture.add_request("job", submit("", vec![step(1, 1000)]));
    fixture.advance_ms(2000);
    fixture.owner.requests_read(fixture.now.mono);
    fixture.advance_ms(100);
    let ages = fixture.decisions.iter().filter_map(|it| match it {
        Decision::Ordered {
            requests_read_ago_ms,
            valid_ms,
            ..
        } => Some((*requests_read_ago_ms, *valid_ms)),
        _ => None,
    });
    assert_eq!(ages.collect::<Vec<_>>(), [(2010, 990)]);
    let held = fixture.decisions.iter().filter_map(|it| match it {
        Decision::StartsHeld { held, open_jobs, .. } => Some((*held, *open_jobs)),
        _ => None,
    });
    assert_eq!(held.collect::<Vec<_>>(), [(true, 1), (false, 1)]);
}
