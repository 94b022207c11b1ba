//! Jobs of queues that move to another pool while submissions are on their way.

use std::sync::Arc;
use std::time::Duration;

use oriolewall::id::{PoolId, TeamId};
use oriolewall::job_record::{Addressee, JobKey, Request, Submission};
use oriolewall::query::JobStatus;
use oriolewall::rpc::Reply;
use oriolewall::worker::ListedWorker;
use serde::{Deserialize, Serialize};
use testutils::owner::{OwnerFixture, RENEWAL_WINDOW, step, submit, worker};

/// Moves the queue of the fixture from `pool` to `next`.
fn move_queue(fixture: &mut OwnerFixture) {
    let queue = fixture.catalog.queues.values_mut().next().unwrap();
    let queue = Arc::make_mut(queue);
    queue.pool = Arc::from("next");
    queue.former_pools = vec![Arc::from("pool")];
    fixture.catalog.version += 1;
    fixture.refresh_config();
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

fn former_status(fixture: &OwnerFixture, id: &str) -> Reply {
    let (queue, pool): (Arc<str>, PoolId) = (Arc::from("queue"), Arc::from("pool"));
    fixture.owner.former_status(fixture.now, &JobKey::from(id), None, &queue, &pool)
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
    let before = first.catalog.clone();
    move_queue(&mut first);
    first.add_request("job", submit("", vec![step(1, 1000)]));
    first.advance_ms(100);
    assert_eq!(first.handed_on.len(), 1);
    first.catalog = before;
    first.refresh_config();
    first.add_request("job", submit("", vec![step(1, 1000)]));
    first.advance_ms(100);
    assert_eq!(first.starts.len(), 1);
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
    assert_eq!(former_status(&former, "job"), Reply::Status(Some(JobStatus::Running)));
    assert_eq!(
        former_status(&former, "other"),
        Reply::Unavailable,
        "it does not know of the move and would run a submission on its way"
    );
    move_queue(&mut former);
    assert_eq!(former_status(&former, "other"), Reply::Status(None));
    former.now.mono += RENEWAL_WINDOW + Duration::from_millis(200);
    assert_eq!(former_status(&former, "other"), Reply::Unavailable, "there may be a later owner");
}

/// A cancel that an instance stored for a pool of the queue.
fn cancel_for(pool: &str) -> Request {
    let addressee = Addressee {
        queue: Arc::from("queue"),
        pool: Arc::from(pool),
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
    assert_eq!(handed_on, [(JobKey::from("job"), PoolId::from("next"), vec![cancel_for("next")])]);
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
    let before = first.catalog.clone();
    move_queue(&mut first);
    move_queue(&mut next);
    first.add_request("job", cancel_for("pool"));
    first.advance_ms(100);
    pass_on(&mut first, &mut next);
    next.advance_ms(100);
    assert!(next.handed_on.is_empty());
    // The queue moves back.
    for fixture in [&mut first, &mut next] {
        fixture.catalog = before.clone();
        let queue = Arc::make_mut(fixture.catalog.queues.values_mut().next().unwrap());
        queue.former_pools = vec![Arc::from("next")];
        fixture.catalog.version += 2;
        fixture.refresh_config();
        fixture.advance_ms(100);
    }
    let handed_on: Vec<_> = next.handed_on.drain(..).collect();
    assert_eq!(handed_on, [(JobKey::from("job"), PoolId::from("pool"), vec![cancel_for("pool")])]);
    first.add_request("job", cancel_for("pool"));
    first.add_request("job", submit("", vec![step(1, 1000)]));
    first.advance_ms(200);
    assert!(first.handed_on.is_empty() && first.starts.is_empty());
    assert_eq!(first.owner.job_status(&JobKey::from("job"), None), Some(JobStatus::Cancelled));
}

/// Requests as earlier builds decode them.
#[derive(Debug, PartialEq, Serialize, Deserialize)]
enum EarlierRequest {
    Submit(Submission),
    Cancel {
        at_ms: u64,
        #[serde(default)]
        team: Option<TeamId>,
    },
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
    };
    let later = Request::Cancel {
        at_ms: 7,
        team,
        addressee: Some(addressee),
    };
    let bytes = later.to_bytes();
    assert_eq!(rmp_serde::from_slice::<EarlierRequest>(&bytes).unwrap(), earlier);
    assert_eq!(rmp_serde::from_slice::<Request>(&bytes).unwrap(), later);
    let submission = submit("team", vec![step(1, 1000)]);
    let Request::Submit(expected) = submission.clone() else {
        panic!("the request submits no job");
    };
    let decoded = rmp_serde::from_slice::<EarlierRequest>(&submission.to_bytes()).unwrap();
    assert_eq!(decoded, EarlierRequest::Submit(expected));
}
