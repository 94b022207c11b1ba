//! Commits that exceed what the log takes in one call, with a crash after each part.

use std::collections::BTreeSet;
use std::sync::Arc;

use oriolewall::commit_size::CommitLimits;
use oriolewall::job_record::{JobPhase, TaskState};
use oriolewall::order::{RunEnd, RunOutcome};
use oriolewall::worker::RunKey;
use testutils::owner::{OwnerFixture, run_end, step, submit, worker};

const JOBS: usize = 8;
const WORKERS: [&str; 2] = ["w1", "w2"];
/// Two records of jobs fit into a call.
const LIMITS: CommitLimits = CommitLimits {
    record_bytes: 262_144,
    call_bytes: 300,
};

fn job(number: usize) -> String {
    format!("{number:016x}")
}

fn add_jobs(fixture: &mut OwnerFixture) {
    (0..JOBS).for_each(|it| fixture.add_request(&job(it), submit("", vec![step(1, 1000)])));
}

/// An owner whose commits are made in parts of about two jobs.
fn owner() -> OwnerFixture {
    let mut fixture = OwnerFixture::with_observed_workers(WORKERS.map(worker).to_vec());
    fixture.limit_commits(LIMITS);
    fixture
}

/// Lets the owner make some more commits; the log takes no later ones.
fn advance_by_commits(fixture: &mut OwnerFixture, commits: usize) {
    let last = fixture.commits + commits;
    for _ in 0..100 {
        fixture.confirms_commits = fixture.commits < last;
        fixture.advance_ms(10);
    }
    assert!(last < fixture.commits, "there are further parts");
}

/// Ends the owner. The next one reads all requests again, and workers report their runs.
fn crash(fixture: &mut OwnerFixture, runs: &[(Arc<str>, RunKey)], ended: &[(Arc<str>, RunEnd)]) {
    fixture.confirms_commits = true;
    fixture.replace_owner();
    fixture.refresh_config();
    add_jobs(fixture);
    fixture.advance_ms(50);
    for id in WORKERS {
        let active = runs.iter().filter(|(worker, _)| &**worker == id).map(|(_, key)| key.clone());
        let ended = ended.iter().filter(|(worker, _)| &**worker == id).map(|(_, end)| end.clone());
        fixture.report_status(id, 3000, active.collect(), ended.collect());
    }
    fixture.advance_ms(1000);
}

fn started(fixture: &OwnerFixture) -> Vec<(Arc<str>, RunKey)> {
    fixture.starts.iter().map(|it| (it.worker.clone(), it.key.clone())).collect()
}

#[test]
fn no_commit_exceeds_the_limit_and_all_jobs_start() {
    // Found by review: after 4.5 s without the log, a commit of over 2 MiB was refused forever.
    let mut fixture = owner();
    add_jobs(&mut fixture);
    fixture.advance_ms(1000);
    assert_eq!(fixture.starts.len(), JOBS);
    assert!(
        fixture.commit_sizes.iter().all(|it| *it <= LIMITS.call_bytes),
        "{:?}",
        fixture.commit_sizes
    );
    assert!(JOBS / 2 <= fixture.commits, "{:?}", fixture.commit_sizes);
}

#[test]
fn a_crash_after_any_part_of_placements_starts_each_task_once() {
    for parts in 0..4 {
        let mut fixture = owner();
        add_jobs(&mut fixture);
        advance_by_commits(&mut fixture, parts);
        let before = started(&fixture);
        assert_eq!(before.len(), fixture.stored.len(), "runs start once they are recorded");
        for (worker, key) in &before {
            let record = fixture.stored_record(&key.task.job);
            assert_eq!(record.tasks[0].state, TaskState::Placed(worker.clone()));
        }
        crash(&mut fixture, &before, &[]);
        let all = before.iter().cloned().chain(started(&fixture));
        let tasks: Vec<_> = all.map(|(_, key)| key.task).collect();
        assert_eq!(tasks.len(), JOBS, "after {parts} parts");
        assert_eq!(tasks.iter().collect::<BTreeSet<_>>().len(), JOBS, "after {parts} parts");
    }
}

#[test]
fn a_crash_after_any_part_of_results_loses_none() {
    for parts in 0..4 {
        let mut fixture = owner();
        add_jobs(&mut fixture);
        fixture.advance_ms(1000);
        let runs = started(&fixture);
        let mut ended: Vec<(Arc<str>, RunEnd)> = Vec::new();
        for id in WORKERS {
            let keys = runs.iter().filter(|(worker, _)| &**worker == id);
            let ends = keys.zip(1..).map(|((_, key), sequence)| run_end(sequence, key, RunOutcome::Done));
            let ends: Vec<RunEnd> = ends.collect();
            fixture.report_status(id, 2000, vec![], ends.clone());
            ended.extend(ends.into_iter().map(|it| (Arc::from(id), it)));
        }
        fixture.status_requests.clear();
        advance_by_commits(&mut fixture, parts);
        let acknowledged = fixture.status_requests.iter().map(|(_, cursor, _)| *cursor).max();
        assert_eq!(acknowledged.unwrap_or(0), 0, "workers keep the ends after {parts} of the parts");
        crash(&mut fixture, &[], &ended);
        for number in 0..JOBS {
            let record = fixture.stored_record(&job(number));
            assert_eq!(record.phase, JobPhase::Completed, "after {parts} parts");
            assert_eq!(record.tasks[0].run, 1, "it ran once");
        }
        // The next run on a worker makes the owner request its status.
        fixture.add_request(&job(JOBS), submit("", vec![step(1, 1000)]));
        fixture.advance_ms(1000);
        let acknowledged = fixture.status_requests.iter().map(|(_, cursor, _)| *cursor).max();
        assert_eq!(
            acknowledged,
            ended.iter().map(|(_, end)| end.sequence).max(),
            "workers may forget the ends now"
        );
    }
}

#[test]
fn a_job_whose_record_the_log_cannot_take_stops_no_other() {
    let mut fixture = owner();
    fixture.limit_commits(CommitLimits {
        record_bytes: 1000,
        ..CommitLimits::default()
    });
    fixture.add_request(&job(0), submit("", vec![step(200, 1)]));
    fixture.add_request(&job(1), submit("", vec![step(1, 1000)]));
    fixture.advance_ms(200);
    assert!(fixture.owner.is_quarantined(&Arc::from(job(0))));
    assert_eq!(fixture.starts.len(), 1);
    assert_eq!(&*fixture.starts[0].key.task.job, job(1));
}

#[test]
fn the_largest_jobs_of_the_sites_are_accepted() {
    let limits = CommitLimits::default();
    assert!(limits.allows_job(4_500, 8 * 5 * 32));
    assert!(limits.allows_job(50_000, 4096));
    assert!(!limits.allows_job(200_000, 4096), "with all tasks placed the record is too large");
}
