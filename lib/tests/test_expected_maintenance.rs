//! Placement of long-running tasks while maintenance of workers is expected.

use std::sync::Arc;
use std::time::Duration;

use oriolewall::expected_maintenance::Expected;
use oriolewall::id::InstanceId;
use testutils::owner::{OwnerFixture, step, submit, worker};

fn at(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

#[test]
fn an_announcement_ends_by_itself() {
    // Guards against workers that are avoided for good after a wave whose coordinator ended.
    let mut expected = Expected::default();
    let (due, other) = (InstanceId::from("due"), InstanceId::from("other"));
    expected.announce(at(1000), [due.clone()]);
    assert!(expected.contains(at(5900), &due));
    assert!(!expected.contains(at(5900), &other));
    assert!(!expected.contains(at(6000), &due));
    expected.announce(at(7000), [due.clone()]);
    assert!(expected.contains(at(7000), &due));
}

/// Places a long-running or a finite task on three workers, of which the first two are to be
/// emptied for maintenance. Returns the worker that gets it.
fn chosen_worker(is_lasting: bool) -> Option<InstanceId> {
    let mut fixture = OwnerFixture::with_observed_workers(vec![worker("w1"), worker("w2"), worker("w3")]);
    let due = ["w1", "w2"].map(InstanceId::from).to_vec();
    fixture.owner.expect_maintenance(fixture.now, due);
    let mut task = step(1, 1000);
    task.lasting = is_lasting;
    fixture.add_request("job", submit("", vec![task]));
    fixture.advance_ms(200);
    fixture.starts.first().map(|it| it.worker.clone())
}

#[test]
fn long_running_tasks_avoid_workers_that_will_be_emptied() {
    // Replays tazarine-sched-grown, trouble-3: of 16 tasks of a job, four were moved to workers that
    // the wave reached later, and the job spares one task at a time.
    assert_eq!(chosen_worker(true), Some(Arc::from("w3")));
    assert_eq!(chosen_worker(false), Some(Arc::from("w1")), "finite tasks end by themselves");
}

#[test]
fn a_long_running_task_does_not_wait_for_a_worker_that_stays() {
    let mut fixture = OwnerFixture::with_observed_workers(vec![worker("w1")]);
    fixture.owner.expect_maintenance(fixture.now, vec![Arc::from("w1")]);
    let mut task = step(1, 1000);
    task.lasting = true;
    fixture.add_request("job", submit("", vec![task]));
    fixture.advance_ms(200);
    assert_eq!(fixture.starts.len(), 1);
}
