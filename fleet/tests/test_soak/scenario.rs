//! Runs in which given events happen in a given order, without other faults.

use std::path::{Path, PathBuf};
use std::sync::Arc;
use std::time::Duration;

use hyper::Method;
use rand::SeedableRng;
use rand::rngs::StdRng;
use rustix::process::Signal;
use serde_json::{Value, json};

use crate::checker::{Job, Step};
use crate::link::{Mode, Unread};
use crate::process::Instance;
use crate::site::{Faults, INSTANCES, LOG, POOLS, Site, WORKERS};
use crate::traffic::{self, Callers};
use crate::{log, process};

/// Time within which a configuration is in effect (`configApplyMs`).
pub(crate) const CONFIG_TIME: Duration = Duration::from_millis(2000);
/// Time for which each task of a job runs.
const TASK_TIME: Duration = Duration::from_millis(6000);
/// Time within which the instances get ready and admit a job.
const PATIENCE: Duration = Duration::from_secs(10);

/// Instances with the services around them.
pub(crate) struct Scenario {
    site: Arc<Site>,
    fleet: Vec<Instance>,
    callers: Callers,
    folder: PathBuf,
}

impl Scenario {
    /// Starts the services and the instances, and waits until all are ready.
    pub(crate) async fn start(name: &str) -> Scenario {
        Scenario::start_with(name, Faults::QueuesMove).await
    }

    /// The same for a site of another kind. Nothing is disturbed.
    pub(crate) async fn start_with(name: &str, faults: Faults) -> Scenario {
        Scenario::start_with_settings(name, faults, &[]).await
    }

    /// The same with other values of some settings.
    pub(crate) async fn start_with_settings(name: &str, faults: Faults, changes: &[(&'static str, String)]) -> Scenario {
        let folder = Path::new(env!("CARGO_TARGET_TMPDIR")).join(format!("{name}-{}", std::process::id()));
        std::fs::create_dir_all(&folder).expect("the folder can be created");
        let (site, log_ports, _pauses) = Site::start(0, Duration::ZERO, faults).await;
        let instance = |(number, port): (usize, &u16)| Instance::with_changes(&folder, number, *port, log::PARTS, changes);
        let mut fleet: Vec<Instance> = log_ports.iter().enumerate().map(instance).collect();
        let callers = Callers::new(site.clone(), fleet.iter().map(|it| it.caller_port));
        fleet.iter_mut().for_each(Instance::start);
        for instance in &fleet {
            process::wait_until_ready(instance.ready_port, PATIENCE).await;
        }
        Scenario {
            site,
            fleet,
            callers,
            folder,
        }
    }

    /// Writes a configuration that assigns the first queue, under a name, to a pool.
    pub(crate) fn configure(&self, version: u64, name: &str, pool: usize) {
        self.site.configure_first_queue(version, name, POOLS[pool]);
    }

    /// Writes a configuration with another queue, whose paths begin with its name.
    pub(crate) fn add_queue(&self, version: u64, name: &str) {
        self.site.add_queue(version, name);
    }

    /// Silences the open connections on which an instance waits for records of the log.
    pub(crate) fn silence_waiting_reads(&self, instance: usize) {
        self.site.silence_waiting_reads(instance);
    }

    /// Silences all open connections of an instance to the log.
    pub(crate) fn silence_log(&self, instance: usize) {
        self.site.silence(instance, LOG);
    }

    /// Silences all open connections of an instance to workers from their next calls on.
    pub(crate) fn silence_workers(&self, instance: usize) {
        (0..WORKERS).for_each(|it| self.site.silence_next_calls(instance, it));
    }

    /// Leaves reads of callers' requests by an instance unanswered for a time.
    pub(crate) fn leave_requests_unread(&self, instance: usize, unread: Unread, time: Duration) {
        self.site.leave_requests_unread(instance, unread, time);
    }

    /// Has the log answer reads with pages of this size.
    pub(crate) fn set_page_bytes(&self, bytes: usize) {
        self.site.lock().log.page_bytes = Some(bytes);
    }

    /// Has all calls of an instance to workers take longer for a time.
    pub(crate) fn slow_workers(&self, instance: usize, answer: Duration, time: Duration) {
        let slow = Mode::Slow(answer);
        (0..WORKERS).for_each(|it| self.site.set_link(instance, it, slow, 1.0, time));
    }

    /// Has all calls of an instance to the log take longer for a time.
    pub(crate) fn slow_log(&self, instance: usize, answer: Duration, time: Duration) {
        self.site.set_link(instance, LOG, Mode::Slow(answer), 1.0, time);
    }

    /// Checks that no task of a cancelled job began later than `time` after the acknowledgement of the
    /// cancel, however disturbed its owner was.
    pub(crate) fn check_starts(&self, id: &str, time: Duration) {
        let checker = &self.site.lock().checker;
        let cancelled_at = checker.jobs[id].cancelled_at.expect("the job was cancelled");
        let lines: Vec<String> = self.fleet.iter().flat_map(|it| it.lines_with(id)).collect();
        assert!(
            checker.last_start(id).is_none_or(|it| it <= cancelled_at + time),
            "a task began later than {time:?} after the cancel\n{}\n{}",
            checker.history_of(id).join("\n"),
            lines.join("\n")
        );
    }

    /// Lines of the instances' decision logs that contain both texts.
    pub(crate) fn lines_with(&self, text: &str, other: &str) -> Vec<String> {
        let lines = self.fleet.iter().flat_map(|it| it.lines_with(text));
        lines.filter(|it| it.contains(other)).collect()
    }

    /// Cuts an instance off from the log for a time.
    pub(crate) fn cut_log(&self, instance: usize, time: Duration) {
        self.site.set_link(instance, LOG, Mode::Cut, 1.0, time);
    }

    /// Reads a path at an instance. Returns the status of the answer, 0 if there is none.
    pub(crate) async fn get(&self, instance: usize, path: &str) -> u16 {
        self.callers.call_instance(instance, Method::GET, path, &Value::Null).await.0
    }

    /// Reads a path at an instance. Returns the status of the answer and the error that it names.
    pub(crate) async fn get_error(&self, instance: usize, path: &str) -> (u16, String) {
        let (status, body) = self.callers.call_instance(instance, Method::GET, path, &Value::Null).await;
        (status, body["error"].as_str().unwrap_or_default().to_owned())
    }

    /// Cancels a job at an instance. Returns the status of the answer, 0 if there is none.
    pub(crate) async fn cancel(&self, instance: usize, queue: usize, id: &str) -> u16 {
        let path = format!("/q{queue}/{id}");
        let status = self.callers.call_instance(instance, Method::DELETE, &path, &Value::Null).await.0;
        let now = self.site.now();
        let checker = &mut self.site.lock().checker;
        checker.note(now, id, format!("cancel at entry-{instance}: {status}"));
        let job = checker.jobs.get_mut(id).expect("the job was submitted");
        job.cancelled_at = (status == 200).then_some(now);
        status
    }

    /// Submits a job to a queue at an instance. Returns the status of the answer, 0 if there is none.
    pub(crate) async fn submit(&self, instance: usize, queue: usize, id: &str) -> u16 {
        self.submit_tasks(instance, queue, id, 100, TASK_TIME).await
    }

    /// The same for a job of two tasks that need this CPU, millicores, and run for a time.
    pub(crate) async fn submit_tasks(&self, instance: usize, queue: usize, id: &str, cpu: u64, duration: Duration) -> u16 {
        self.submit_steps(instance, queue, id, cpu, &[duration]).await
    }

    /// The same for a job of steps that run one after the other, each for a time.
    pub(crate) async fn submit_steps(&self, instance: usize, queue: usize, id: &str, cpu: u64, durations: &[Duration]) -> u16 {
        let step = |(index, duration): (usize, &Duration)| Step {
            count: 2,
            cpu,
            mem: 50,
            duration: *duration,
            follows: index != 0,
            lasting: false,
        };
        let steps: Vec<Step> = durations.iter().enumerate().map(step).collect();
        let body = json!({ "spec": id, "phases": steps.iter().enumerate().map(traffic::phase).collect::<Vec<_>>() });
        self.site
            .lock()
            .checker
            .jobs
            .entry(id.to_owned())
            .or_insert_with(|| Job::new(id.to_owned(), steps));
        let path = format!("/q{queue}/{id}");
        let status = self.callers.call_instance(instance, Method::POST, &path, &body).await.0;
        let now = self.site.now();
        self.site
            .lock()
            .checker
            .note(now, id, format!("submit to entry-{instance}: {status}"));
        status
    }

    /// Runs a short job of the queue that belongs to a pool for good, and returns the instance that
    /// admitted it.
    pub(crate) async fn owner_of(&self, pool: usize) -> usize {
        let id = format!("{:016x}", 0xa0 + pool);
        assert_eq!(self.submit(0, 1 + pool, &id).await, 200);
        let deadline = self.site.now() + PATIENCE;
        loop {
            let has_admitted = |it: &Instance| it.lines_with(&id).iter().any(|line| line.contains("\"admitted\""));
            if let Some(owner) = self.fleet.iter().position(has_admitted) {
                return owner;
            }
            assert!(self.site.now() < deadline, "no owner admits a job of pool {pool}");
            tokio::time::sleep(Duration::from_millis(50)).await;
        }
    }

    /// The same once all instances own their partitions, so that the owner stays.
    pub(crate) async fn settled_owner_of(&self, pool: usize) -> usize {
        let deadline = self.site.now() + PATIENCE;
        while !self.site.lock().log.is_settled(INSTANCES) {
            assert!(self.site.now() < deadline, "not all instances own partitions");
            tokio::time::sleep(Duration::from_millis(50)).await;
        }
        self.owner_of(pool).await
    }

    pub(crate) fn signal(&mut self, instance: usize, signal: Signal) {
        self.fleet[instance].signal(signal);
    }

    /// Has a paused instance run again.
    pub(crate) fn continue_paused(&self, instance: usize) {
        self.fleet[instance].continue_paused();
    }

    /// Starts an instance that was killed.
    pub(crate) fn start_again(&mut self, instance: usize) {
        self.fleet[instance].kill();
        self.fleet[instance].start();
    }

    /// Reassigns all partitions at once, without the holders' release.
    pub(crate) fn reassign_partitions(&self) {
        let state = &mut *self.site.lock();
        state.log.reassign(&mut state.rng);
    }

    /// Ends an instance at once, has the log drop all records that have newer ones, and starts the
    /// instance again.
    pub(crate) async fn restart_without_history(&mut self, instance: usize) {
        self.fleet[instance].kill();
        self.site.lock().log.compact();
        self.fleet[instance].start();
        process::wait_until_ready(self.fleet[instance].ready_port, PATIENCE).await;
    }

    /// Waits until the tasks of a job have ended that started by now, and checks that each has run
    /// once.
    pub(crate) async fn check_that_each_task_ran_once(&self, id: &str) {
        tokio::time::sleep(TASK_TIME + Duration::from_secs(2)).await;
        self.check_promises(id);
        let mut rng = StdRng::seed_from_u64(0);
        self.callers.read(&mut rng, id).await;
        assert!(self.site.lock().checker.jobs[id].completed, "the job has not completed");
        let _ = std::fs::remove_dir_all(&self.folder);
    }

    /// Waits until jobs have completed, at most for a time. Returns whether they have.
    pub(crate) async fn wait_until_completed(&self, jobs: &[&str], time: Duration) -> bool {
        let deadline = self.site.now() + time;
        let mut rng = StdRng::seed_from_u64(0);
        loop {
            for id in jobs {
                self.callers.read(&mut rng, id).await;
            }
            if jobs.iter().all(|id| self.site.lock().checker.jobs[*id].completed) {
                return true;
            }
            if deadline < self.site.now() {
                return false;
            }
            tokio::time::sleep(Duration::from_millis(100)).await;
        }
    }

    /// Checks that no promise was broken.
    pub(crate) fn check_promises(&self, id: &str) {
        let checker = &self.site.lock().checker;
        let lines: Vec<String> = self.fleet.iter().flat_map(|it| it.lines_with(id)).collect();
        let history = checker.history_of(id).join("\n");
        assert!(
            checker.violations.is_empty(),
            "{:?}\n{history}\n{}",
            checker.violations,
            lines.join("\n")
        );
    }

    /// Number of instances; any of them may get a call.
    pub(crate) fn instances(&self) -> std::ops::Range<usize> {
        0..INSTANCES
    }
}
