//! Jobs of queues that move to another pool while submissions are on their way.

use std::sync::Arc;
use std::time::Duration;

use oriolewall::id::{PoolId, TeamId};
use oriolewall::inquiry::Holding;
use oriolewall::job_record::{Addressee, JobKey, MAX_ORIGIN_BYTES, Origin, Request};
use oriolewall::query::JobStatus;
use oriolewall::spec::JobSpec;
use oriolewall::worker::ListedWorker;
use serde::{Deserialize, Serialize};
use testutils::owner::{OwnerFixture, RENEWAL_WINDOW, queue, step, submit, worker};

/// Moves the queue of the fixture from `pool` to `next`.
fn move_queue(fixture: &mut OwnerFixture) {
    fixture.configure(2, &[queue("queue", "/q/", "next")]);
}

/// Has the owner of one pool answer the questions of another one.
fn answer_questions(asking: &mut OwnerFixture, asked: &mut OwnerFixture) {
    for (pool, version, jobs) in asking.questions.drain(..) {
        let answer = asked.owner.holdings(asked.now, version, &jobs);
        asking.owner.holdings_received(asking.now, &pool, version, jobs, answer);
    }
}

/// A worker of the pool to which the queue moves.
fn next_worker(id: &str) -> ListedWorker {
    ListedWorker {
        pool: Arc::from("next"),
        ..worker(id)
    }
}

/// Passes what one owner hands on to the other.
fn pass_on(former: &mut OwnerFixture, next: &mut OwnerFixture) {
    for (id, pool, requests) in former.handed_on.drain(..) {
        assert_eq!(&*pool, "next");
        for request in requests {
            next.add_request(&id, request);
        }
        former.owner.hand_on_finished(&id);
    }
}

fn for_next(request: Request) -> Request {
    let Request::Submit(mut submission) = request else {
        panic!("the request submits no job");
    };
    submission.pool = Arc::from("next");
    Request::Submit(submission)
}

/// What the owner answers to another one that knows the second version of the configuration.
fn holding(fixture: &mut OwnerFixture, id: &str) -> Option<Holding> {
    Some(fixture.owner.holdings(fixture.now, 2, &[JobKey::from(id)])?[0])
}

#[test]
fn a_job_submitted_before_and_after_the_move_runs_once() {
    // The first submission was carried out by the log seconds late. Its caller had sent the
    // job again meanwhile, to the pool that the queue had moved to, and both owners ran it.
    let mut former = OwnerFixture::with_observed_workers(vec![worker("w1")]);
    let mut next = OwnerFixture::with_observed_workers(vec![next_worker("w2")]);
    move_queue(&mut former);
    move_queue(&mut next);
    next.add_request("job", for_next(submit("", vec![step(2, 1000)])));
    next.advance_ms(50);
    answer_questions(&mut next, &mut former);
    former.add_request("job", submit("", vec![step(2, 1000)]));
    former.advance_ms(200);
    pass_on(&mut former, &mut next);
    next.advance_ms(200);
    assert_eq!((former.starts.len(), next.starts.len()), (0, 2));
}

#[test]
fn a_submission_that_only_the_former_owner_reads_runs_in_the_next_pool() {
    let mut former = OwnerFixture::with_observed_workers(vec![worker("w1")]);
    let mut next = OwnerFixture::with_observed_workers(vec![next_worker("w2")]);
    move_queue(&mut former);
    move_queue(&mut next);
    former.add_request("job", submit("", vec![step(1, 1000)]));
    former.advance_ms(200);
    assert_eq!(
        former.owner.job_status(&JobKey::from("job"), None),
        Some(JobStatus::Queued),
        "the job is known until the other owner may have read it"
    );
    pass_on(&mut former, &mut next);
    next.advance_ms(50);
    assert_eq!(next.owner.job_status(&JobKey::from("job"), None), Some(JobStatus::Queued));
    answer_questions(&mut next, &mut former);
    next.advance_ms(200);
    assert_eq!((former.starts.len(), next.starts.len()), (0, 1));
    assert_eq!(former.owner.job_status(&JobKey::from("job"), None), None);
}

#[test]
fn a_submission_found_by_a_new_owner_of_the_former_pool_is_handed_on() {
    let mut former = OwnerFixture::with_observed_workers(vec![worker("w1")]);
    move_queue(&mut former);
    former.replace_owner();
    former.refresh_config();
    let request = submit("", vec![step(1, 1000)]);
    former.owner.load_request(former.now, Arc::from("job"), request);
    former.advance_ms(200);
    assert_eq!(former.handed_on.len(), 1);
}

#[test]
fn a_job_admitted_before_the_move_stays_with_its_owner() {
    let mut former = OwnerFixture::with_observed_workers(vec![worker("w1")]);
    former.add_request("job", submit("", vec![step(1, 1000)]));
    former.advance_ms(100);
    move_queue(&mut former);
    former.add_request("job", submit("", vec![step(1, 1000)]));
    former.advance_ms(100);
    assert_eq!((former.starts.len(), former.handed_on.len()), (1, 0));
}

#[test]
fn a_queue_that_moved_back_is_run_by_its_first_pool() {
    let mut first = OwnerFixture::with_observed_workers(vec![worker("w1")]);
    let mut next = OwnerFixture::with_observed_workers(vec![next_worker("w2")]);
    for fixture in [&mut first, &mut next] {
        move_queue(fixture);
    }
    first.add_request("job", submit("", vec![step(1, 1000)]));
    first.advance_ms(100);
    assert_eq!(first.handed_on.len(), 1);
    for fixture in [&mut first, &mut next] {
        fixture.configure(3, &[queue("queue", "/q/", "pool")]);
    }
    first.add_request("job", submit("", vec![step(1, 1000)]));
    first.advance_ms(50);
    assert!(first.starts.is_empty(), "the other pool may have the job");
    next.advance_ms(50);
    answer_questions(&mut first, &mut next);
    first.advance_ms(100);
    assert_eq!(first.starts.len(), 1);
}

#[test]
fn a_queue_that_moved_there_and_back_runs_no_job_of_the_other_pool_again() {
    // An instance that had been paused stored a submission by its first configuration, and the
    // first pool ran the job although the pool between was running it.
    let mut first = OwnerFixture::with_observed_workers(vec![worker("w1")]);
    let mut between = OwnerFixture::with_observed_workers(vec![next_worker("w2")]);
    for fixture in [&mut first, &mut between] {
        move_queue(fixture);
    }
    between.add_request("job", for_next(submit("", vec![step(2, 1000)])));
    between.advance_ms(50);
    answer_questions(&mut between, &mut first);
    between.advance_ms(200);
    for fixture in [&mut first, &mut between] {
        fixture.configure(3, &[queue("queue", "/q/", "pool")]);
    }
    first.add_request("job", submit("", vec![step(2, 1000)]));
    first.advance_ms(50);
    answer_questions(&mut first, &mut between);
    first.advance_ms(4000);
    assert_eq!((first.starts.len(), between.starts.len()), (0, 2));
    assert_eq!(first.removed_requests, [JobKey::from("job")]);
}

#[test]
fn cancels_follow_the_job() {
    let mut former = OwnerFixture::with_observed_workers(vec![worker("w1")]);
    let mut next = OwnerFixture::with_observed_workers(vec![next_worker("w2")]);
    move_queue(&mut former);
    move_queue(&mut next);
    let cancel = || Request::Cancel {
        at_ms: 0,
        team: None,
        addressee: None,
    };
    former.add_request("before", cancel());
    former.add_request("before", submit("", vec![step(1, 1000)]));
    former.add_request("after", submit("", vec![step(1, 1000)]));
    former.add_request("after", cancel());
    former.advance_ms(100);
    pass_on(&mut former, &mut next);
    next.advance_ms(50);
    answer_questions(&mut next, &mut former);
    next.advance_ms(200);
    assert!(next.starts.is_empty());
    for id in ["before", "after"] {
        assert_eq!(next.owner.job_status(&JobKey::from(id), None), Some(JobStatus::Cancelled));
    }
}

#[test]
fn a_former_owner_denies_a_job_only_if_it_will_never_have_it() {
    let mut former = OwnerFixture::with_observed_workers(vec![worker("w1")]);
    former.add_request("job", submit("", vec![step(1, 1000)]));
    former.advance_ms(100);
    assert_eq!(holding(&mut former, "job"), Some(Holding::Held));
    assert_eq!(
        holding(&mut former, "other"),
        Some(Holding::Undecided),
        "it does not know of the move and would run a submission on its way"
    );
    move_queue(&mut former);
    assert_eq!(holding(&mut former, "other"), Some(Holding::NotHeld));
    former.now.mono += RENEWAL_WINDOW + Duration::from_millis(200);
    assert_eq!(holding(&mut former, "other"), None, "there may be a later owner");
}

/// A cancel that an instance stored for a pool of the queue.
fn cancel_for(pool: &str) -> Request {
    let addressee = Addressee {
        queue: Arc::from("queue"),
        pool: Arc::from(pool),
        origin: None,
    };
    Request::Cancel {
        at_ms: 0,
        team: None,
        addressee: Some(addressee),
    }
}

/// A cancel that an owner handed on by a version of the configuration.
fn handed_on_cancel(pool: &str, version: u64) -> Request {
    let addressee = Addressee {
        queue: Arc::from("queue"),
        pool: Arc::from(pool),
        origin: Some(Origin {
            address: Arc::from("host/q/"),
            version,
        }),
    };
    Request::Cancel {
        at_ms: 0,
        team: None,
        addressee: Some(addressee),
    }
}

#[test]
fn a_cancel_found_by_a_new_owner_of_the_former_pool_follows_the_job() {
    // The earlier owner had handed the submission on. The next one kept the cancel, and the job
    // ran although its cancel had been accepted.
    let mut former = OwnerFixture::with_observed_workers(vec![worker("w1")]);
    let mut next = OwnerFixture::with_observed_workers(vec![next_worker("w2")]);
    move_queue(&mut former);
    move_queue(&mut next);
    former.add_request("job", submit("", vec![step(1, 1000)]));
    former.advance_ms(100);
    pass_on(&mut former, &mut next);
    next.advance_ms(50);
    answer_questions(&mut next, &mut former);
    former.replace_owner();
    former.refresh_config();
    former.owner.load_request(former.now, Arc::from("job"), cancel_for("pool"));
    former.advance_ms(100);
    pass_on(&mut former, &mut next);
    next.advance_ms(100);
    assert_eq!(next.owner.job_status(&JobKey::from("job"), None), Some(JobStatus::Cancelled));
}

#[test]
fn a_cancel_that_was_read_before_the_move_is_handed_on_once() {
    let mut former = OwnerFixture::with_observed_workers(vec![worker("w1")]);
    former.add_request("job", cancel_for("pool"));
    former.advance_ms(100);
    assert!(former.handed_on.is_empty());
    move_queue(&mut former);
    former.advance_ms(100);
    former.refresh_config();
    former.advance_ms(100);
    let handed_on: Vec<_> = former.handed_on.drain(..).collect();
    assert_eq!(
        handed_on,
        [(JobKey::from("job"), PoolId::from("next"), vec![handed_on_cancel("next", 2)])]
    );
}

#[test]
fn a_cancel_of_a_job_that_the_former_owner_runs_stays_with_it() {
    let mut former = OwnerFixture::with_observed_workers(vec![worker("w1")]);
    former.add_request("job", submit("", vec![step(1, 1000)]));
    former.advance_ms(100);
    former.add_request("job", cancel_for("pool"));
    move_queue(&mut former);
    former.advance_ms(100);
    assert_eq!(former.owner.job_status(&JobKey::from("job"), None), Some(JobStatus::Cancelled));
    assert!(former.handed_on.is_empty());
}

#[test]
fn a_cancel_ends_in_the_pool_that_the_queue_uses() {
    let mut first = OwnerFixture::with_observed_workers(vec![worker("w1")]);
    let mut next = OwnerFixture::with_observed_workers(vec![next_worker("w2")]);
    move_queue(&mut first);
    move_queue(&mut next);
    first.add_request("job", cancel_for("pool"));
    first.advance_ms(100);
    pass_on(&mut first, &mut next);
    assert!(next.handed_on.is_empty());
    // The queue moves back.
    for fixture in [&mut first, &mut next] {
        fixture.configure(3, &[queue("queue", "/q/", "pool")]);
        fixture.advance_ms(100);
    }
    let handed_on: Vec<_> = next.handed_on.drain(..).collect();
    assert_eq!(
        handed_on,
        [(JobKey::from("job"), PoolId::from("pool"), vec![handed_on_cancel("pool", 3)])]
    );
    first.add_request("job", cancel_for("pool"));
    first.add_request("job", submit("", vec![step(1, 1000)]));
    first.advance_ms(50);
    answer_questions(&mut first, &mut next);
    first.advance_ms(200);
    assert!(first.handed_on.is_empty() && first.starts.is_empty());
    assert_eq!(first.owner.job_status(&JobKey::from("job"), None), Some(JobStatus::Cancelled));
}

#[test]
fn a_cancel_stored_by_an_earlier_configuration_follows_the_job_to_the_pool_between() {
    let mut first = OwnerFixture::with_observed_workers(vec![worker("w1")]);
    let mut between = OwnerFixture::with_observed_workers(vec![next_worker("w2")]);
    for fixture in [&mut first, &mut between] {
        move_queue(fixture);
    }
    between.add_request("job", for_next(submit("", vec![step(1, 1000)])));
    between.advance_ms(50);
    answer_questions(&mut between, &mut first);
    between.advance_ms(100);
    for fixture in [&mut first, &mut between] {
        fixture.configure(3, &[queue("queue", "/q/", "pool")]);
    }
    first.add_request("job", cancel_for("pool"));
    first.advance_ms(50);
    answer_questions(&mut first, &mut between);
    first.advance_ms(50);
    pass_on(&mut first, &mut between);
    between.advance_ms(100);
    assert_eq!(between.owner.job_status(&JobKey::from("job"), None), Some(JobStatus::Cancelled));
}

/// Requests as earlier builds decode them.
#[derive(Debug, PartialEq, Serialize, Deserialize)]
enum EarlierRequest {
    Submit(EarlierSubmission),
    Cancel {
        at_ms: u64,
        #[serde(default)]
        team: Option<TeamId>,
    },
}

/// A submission as earlier builds decode it.
#[derive(Debug, PartialEq, Serialize, Deserialize)]
struct EarlierSubmission {
    queue: Arc<str>,
    pool: PoolId,
    team: TeamId,
    received_ms: u64,
    spec: Arc<JobSpec>,
}

#[test]
fn earlier_and_later_builds_read_each_others_cancels() {
    let team: Option<TeamId> = Some(Arc::from("team"));
    let earlier = EarlierRequest::Cancel {
        at_ms: 7,
        team: team.clone(),
    };
    let bytes = rmp_serde::to_vec(&earlier).unwrap();
    let expected = Request::Cancel {
        at_ms: 7,
        team: team.clone(),
        addressee: None,
    };
    assert_eq!(rmp_serde::from_slice::<Request>(&bytes).unwrap(), expected);
    let addressee = Addressee {
        queue: Arc::from("queue"),
        pool: Arc::from("pool"),
        origin: Some(Origin {
            address: Arc::from("host/q/"),
            version: 7,
        }),
    };
    let later = Request::Cancel {
        at_ms: 7,
        team,
        addressee: Some(addressee),
    };
    let bytes = later.to_bytes();
    assert_eq!(rmp_serde::from_slice::<EarlierRequest>(&bytes).unwrap(), earlier);
    assert_eq!(rmp_serde::from_slice::<Request>(&bytes).unwrap(), later);
}

#[test]
fn earlier_and_later_builds_read_each_others_submissions() {
    let Request::Submit(mut submission) = submit("team", vec![step(1, 1000)]) else {
        panic!("the request submits no job");
    };
    let earlier = EarlierRequest::Submit(EarlierSubmission {
        queue: submission.queue.clone(),
        pool: submission.pool.clone(),
        team: submission.team.clone(),
        received_ms: submission.received_ms,
        spec: submission.spec.clone(),
    });
    let plain = Request::Submit(submission.clone());
    assert_eq!(rmp_serde::to_vec(&earlier).unwrap(), plain.to_bytes());
    assert_eq!(rmp_serde::from_slice::<Request>(&plain.to_bytes()).unwrap(), plain);
    submission.origin = Some(Origin {
        address: Arc::from("host/q/"),
        version: 7,
    });
    let moved = Request::Submit(submission);
    assert_eq!(rmp_serde::from_slice::<EarlierRequest>(&moved.to_bytes()).unwrap(), earlier);
    assert_eq!(rmp_serde::from_slice::<Request>(&moved.to_bytes()).unwrap(), moved);
}

#[test]
fn a_submission_grows_within_its_reserve_when_it_is_handed_on() {
    // The log would refuse the longer record each time, and the job would never run.
    let plain = submit("team", vec![step(1, 1000)]);
    let Request::Submit(mut submission) = plain.clone() else {
        panic!("the request submits no job");
    };
    submission.origin = Some(Origin {
        address: Arc::from("x".repeat(900)),
        version: u64::MAX,
    });
    let grown = Request::Submit(submission).to_bytes();
    assert!(grown.len() <= plain.to_bytes().len() + MAX_ORIGIN_BYTES);
}

#[test]
fn a_job_that_is_not_recorded_yet_is_not_left_to_its_owner() {
    // The owner ended before it had recorded the job, and the next one handed the submission on,
    // while the pool that had left the job to it removed the submission from the log.
    let mut former = OwnerFixture::with_observed_workers(vec![worker("w1")]);
    former.confirms_commits = false;
    former.add_request("job", submit("", vec![step(1, 1000)]));
    former.advance_ms(100);
    move_queue(&mut former);
    assert_eq!(holding(&mut former, "job"), Some(Holding::Undecided));
    former.confirms_commits = true;
    former.owner.commit_confirmed(former.now);
    assert_eq!(holding(&mut former, "job"), Some(Holding::Held));
}

#[test]
fn a_waiting_job_that_is_asked_for_is_recorded() {
    // A job without room is recorded when it is placed, so the other owner would wait for that.
    let mut former = OwnerFixture::with_observed_workers(vec![]);
    former.add_request("job", submit("", vec![step(1, 1000)]));
    former.advance_ms(100);
    move_queue(&mut former);
    assert_eq!(holding(&mut former, "job"), Some(Holding::Undecided));
    former.advance_ms(100);
    assert_eq!(holding(&mut former, "job"), Some(Holding::Held));
}
