//! The owner of a pool: holds its jobs and workers and decides which task runs on
//! which worker.
//!
//! The scheduler does no I/O: callers pass in events and the current time, and carry
//! out the actions that [`Scheduler::poll`] returns. A task is started only after the
//! log has confirmed the record that places it, so the next owner can restore every
//! run that may exist. Each order to a worker carries a fencing token that increases
//! with each owner, and a start expires at a time on the worker's clock.

use std::collections::{BTreeMap, BTreeSet, HashMap, HashSet};
use std::sync::Arc;
use std::time::Duration;

use crate::advice::{StepAdvice, StepKey};
use crate::candidate::Candidates;
use crate::cap_demand::Limits;
use crate::catalog::{Catalog, Queue};
use crate::clock::Now;
use crate::commit::Batch;
use crate::commit_size::{CommitLimits, Remainder};
use crate::decision::Decision;
use crate::expected_maintenance::Expected;
use crate::forecast::Forecast;
use crate::id::{InstanceId, PoolId, TeamId};
use crate::inquiry::{Inquiry, Question};
use crate::job_record::{CancelKey, JobKey, JobPhase, JobRecord, TaskKey, TaskState};
use crate::learning::Learned;
use crate::log_view::View;
use crate::moved_queue::{Cancel, HandedOn};
use crate::order::{Action, TokenForm};
use crate::resources::Resources;
use crate::rpc::Allowance;
use crate::start_window::Window;
use crate::time_limits::TimeLimits;
use crate::waiting::Demand;
use crate::worker::{Run, RunKey, RunPhase, Worker};
use crate::worker_search::Searches;

/// Time after which a worker must no longer carry out an order to start a run.
/// Ten times the slowest answer of a healthy worker across zones.
pub(crate) const START_EXPIRY: Duration = Duration::from_millis(1000);
/// Minimum time between two status requests to a worker; runs that end within it are
/// reported together.
pub(crate) const MIN_STATUS_INTERVAL: Duration = Duration::from_millis(60);
/// Time after a failed status request until the next one.
pub(crate) const STATUS_RETRY: Duration = Duration::from_millis(400);
/// Most ended runs in one worker status; more may follow a full page.
pub(crate) const ENDS_PAGE_SIZE: usize = 500;
/// Time without new placements after a worker refused a task for lack of capacity.
pub(crate) const PLACEMENT_PAUSE: Duration = Duration::from_millis(200);

/// A job's record with the state that is not written to the log.
#[derive(Debug)]
pub(crate) struct TrackedJob {
    pub(crate) record: JobRecord,
    /// Phase in the last record that the log confirmed; `Open` until there is one.
    pub(crate) logged_phase: JobPhase,
    /// Whether the log has confirmed a record of the job.
    pub(crate) is_logged: bool,
    /// Whether a task of the job may have started: a worker has reported one, or an earlier owner
    /// placed one.
    pub(crate) may_have_started: bool,
    /// Whether a request to cancel the job was read that is still in the log.
    pub(crate) cancel_pending: bool,
}

impl TrackedJob {
    /// Whether callers of a team may read and cancel the job. `None` stands for callers of a
    /// public queue, which need no key.
    pub(crate) fn is_visible_to(&self, team: Option<&TeamId>) -> bool {
        is_visible(&self.record.submission.team, team)
    }
}

/// Whether callers of a team may read and cancel a job of the team `own`.
pub(crate) fn is_visible(own: &TeamId, team: Option<&TeamId>) -> bool {
    own.is_empty() || team.is_none_or(|it| it == own)
}

/// The owner of all pools whose jobs are in one partition of the log.
#[derive(Debug)]
pub struct Scheduler {
    pub(crate) limits: TimeLimits,
    /// When this owner knew that its epoch is set in the log, so that earlier ones are fenced.
    pub(crate) acquired_at: Duration,
    /// Send time of the latest call by which the log, or the group of owners, confirmed this
    /// owner.
    pub(crate) confirmed_at: Duration,
    /// Callers' requests that have been read.
    pub(crate) requests: View,
    /// Time from the acknowledgement of a cancel after which no task of its job may start.
    pub(crate) cancel_time: Duration,
    /// Whether starts are held as a cancel may be unknown.
    pub(crate) starts_are_held: bool,
    pub(crate) catalog: Arc<Catalog>,
    pub(crate) jobs: HashMap<JobKey, TrackedJob>,
    pub(crate) open_jobs: BTreeSet<JobKey>,
    pub(crate) workers: HashMap<InstanceId, Worker>,
    /// Workers for the tasks of the current placement pass.
    pub(crate) candidates: Candidates,
    /// Demand for each pool that has workers.
    pub(crate) demands: HashMap<PoolId, Demand>,
    /// When the usage of pools by teams was last counted.
    pub(crate) usage_counted_at: Option<Duration>,
    /// Searches for workers that failed.
    pub(crate) searches: Searches,
    /// Resources that each team's runs may be using, counted against its cap.
    pub(crate) usage: HashMap<TeamId, Resources>,
    /// Limits of teams in these pools.
    pub(crate) team_limits: Limits,
    /// Cancel requests that were read, by their callers' teams, until the submission of their job
    /// is read and until its end is recorded.
    pub(crate) read_cancels: HashMap<JobKey, BTreeMap<Option<TeamId>, Cancel>>,
    /// Jobs that were handed on to the next pool of their queue.
    pub(crate) handed_on: HashMap<JobKey, HandedOn>,
    /// Jobs that other pools may have.
    pub(crate) inquiries: BTreeMap<JobKey, Inquiry>,
    /// Questions to the owners of these pools.
    pub(crate) questions: HashMap<PoolId, Question>,
    /// Whether the configuration has changed since the last call to `poll`.
    pub(crate) catalog_has_changed: bool,
    /// Jobs whose records go into the next commit.
    pub(crate) dirty_jobs: BTreeSet<JobKey>,
    /// Jobs whose records the next commit removes.
    pub(crate) expired_jobs: Vec<JobKey>,
    /// Runs placed since the last commit; the next one records them, then they are started.
    pub(crate) pending_starts: Vec<(InstanceId, RunKey)>,
    /// Limits the runs that are placed and whose start is not answered.
    pub(crate) start_window: Window,
    pub(crate) in_flight_commit: Option<Batch>,
    /// What remains of a commit that exceeds the limits of the log.
    pub(crate) remainder: Remainder,
    pub(crate) commit_limits: CommitLimits,
    pub(crate) last_commit: Duration,
    /// Submissions whose jobs are recorded, to be removed from the log.
    pub(crate) processed_submissions: Vec<JobKey>,
    /// Cancel requests that were read and have no effect any more, to be removed from the log.
    /// One that was not read has to stay for the next owner.
    pub(crate) processed_cancels: Vec<CancelKey>,
    pub(crate) last_cleanup: Duration,
    pub(crate) arrivals: HashMap<PoolId, Forecast>,
    pub(crate) advice: HashMap<StepKey, StepAdvice>,
    /// Workers on which long-running tasks would not stay.
    pub(crate) expected_maintenance: Expected,
    /// Run times and worker speeds that this owner has observed.
    pub(crate) learned: Learned,
    /// When all runs end on workers that an earlier owner recorded as silent.
    pub(crate) silent_until: HashMap<InstanceId, Duration>,
    /// Runs placed by earlier owners, by worker, until the worker is listed or found to
    /// be missing from the list.
    pub(crate) inherited_runs: HashMap<InstanceId, Vec<(RunKey, Run)>>,
    /// Runs that workers list and this owner did not expect, until they have ended.
    pub(crate) unexpected_runs: HashSet<RunKey>,
    /// Jobs that this owner cannot handle.
    pub(crate) quarantined_jobs: HashSet<JobKey>,
    /// Those of them that the next commit marks in the log.
    pub(crate) quarantine_marks: BTreeSet<JobKey>,
    pub(crate) fenced: bool,
    /// Form of the tokens with which workers are called first.
    pub(crate) token_form: TokenForm,
    /// Number of the contact that was numbered last with any worker.
    pub(crate) last_contact: u32,
    /// No tasks are placed before this time.
    pub(crate) placement_resumes_at: Duration,
    /// Actions that the next call to `poll` returns.
    pub(crate) actions: Vec<Action>,
}

impl Scheduler {
    /// Creates an owner that has set its epoch in the log by a call that was sent at
    /// `confirmed_at`. The process may have been paused since.
    pub fn new(limits: TimeLimits, now: Now, confirmed_at: Duration) -> Scheduler {
        Scheduler {
            limits,
            acquired_at: now.mono,
            confirmed_at,
            requests: View::new(confirmed_at),
            cancel_time: Duration::MAX,
            starts_are_held: false,
            catalog: Arc::default(),
            jobs: HashMap::new(),
            open_jobs: BTreeSet::new(),
            workers: HashMap::new(),
            candidates: Candidates::default(),
            demands: HashMap::new(),
            usage_counted_at: None,
            searches: Searches::default(),
            usage: HashMap::new(),
            team_limits: Limits::default(),
            read_cancels: HashMap::new(),
            handed_on: HashMap::new(),
            inquiries: BTreeMap::new(),
            questions: HashMap::new(),
            catalog_has_changed: false,
            dirty_jobs: BTreeSet::new(),
            expired_jobs: Vec::new(),
            pending_starts: Vec::new(),
            start_window: Window::default(),
            in_flight_commit: None,
            remainder: Remainder::default(),
            commit_limits: CommitLimits::default(),
            last_commit: Duration::ZERO,
            processed_submissions: Vec::new(),
            processed_cancels: Vec::new(),
            arrivals: HashMap::new(),
            advice: HashMap::new(),
            expected_maintenance: Expected::default(),
            learned: Learned::default(),
            silent_until: HashMap::new(),
            inherited_runs: HashMap::new(),
            last_cleanup: now.mono,
            unexpected_runs: HashSet::new(),
            quarantined_jobs: HashSet::new(),
            quarantine_marks: BTreeSet::new(),
            fenced: false,
            token_form: TokenForm::default(),
            last_contact: 0,
            placement_resumes_at: Duration::ZERO,
            actions: Vec::new(),
        }
    }

    /// Sets the form of the fencing tokens.
    pub fn with_token_form(mut self, token_form: TokenForm) -> Scheduler {
        self.token_form = token_form;
        self
    }

    /// Sets the limits of the log on records and calls.
    pub fn set_commit_limits(&mut self, commit_limits: CommitLimits) {
        self.commit_limits = commit_limits;
    }

    /// Sets whether run times, worker speeds and interference are learned from runs and used.
    pub fn with_learning(mut self, learns: bool) -> Scheduler {
        self.learned.is_disabled = !learns;
        self
    }

    /// Replaces the operators' configuration. A team whose cap is lowered starts nothing until the
    /// coordinator has divided the new one, as other owners may use all of it.
    pub fn set_catalog(&mut self, catalog: Arc<Catalog>) {
        for (team, settings) in &catalog.teams {
            if self.catalog.teams.get(team).is_some_and(|it| settings.cap.is_below(&it.cap)) {
                self.team_limits.grants.remove(team);
            }
        }
        self.catalog = catalog;
        self.catalog_has_changed = true;
    }

    /// Replaces the share of each team's cap that this owner may use in its pools.
    pub fn set_grants(&mut self, grants: HashMap<TeamId, Resources>) {
        self.team_limits.grants = grants;
    }

    /// Replaces the shares of the teams' caps and what is known of these caps as a whole.
    pub fn set_allowance(&mut self, allowance: Allowance) {
        self.team_limits.grants = allowance.grants;
        self.team_limits.flexible = allowance.flexible;
    }

    /// Records that a call sent at `at` confirmed this owner.
    pub fn confirm_ownership(&mut self, at: Duration) {
        self.confirmed_at = self.confirmed_at.max(at);
        self.number_refused_contacts(at);
    }

    /// Time for which this owner may still start runs and renew leases without a new
    /// confirmation.
    pub(crate) fn ownership_left(&self, now: Now) -> Duration {
        (self.confirmed_at + self.limits.renewal_window).saturating_sub(now.mono)
    }

    /// Whether a later owner has replaced this one.
    pub fn is_fenced(&self) -> bool {
        self.fenced
    }

    /// Whether the job is open and its record places the task on this worker under this
    /// run number.
    pub(crate) fn is_current(&self, id: &InstanceId, key: &RunKey) -> bool {
        let Some(tracked) = self.jobs.get(&key.task.job) else {
            return false;
        };
        let Some(position) = tracked.record.position(&key.task) else {
            return false;
        };
        let task = &tracked.record.tasks[position];
        tracked.record.phase == JobPhase::Open && task.run == key.run && task.state == TaskState::Placed(id.clone())
    }

    /// A run's team, the resources it takes of its worker, and those that count against
    /// the team's cap.
    pub(crate) fn reservation(&self, key: &RunKey, capacity: Resources) -> (TeamId, Resources, Resources) {
        let Some(tracked) = self.jobs.get(&key.task.job) else {
            // The resources of an unknown run are not known, so it takes the whole worker.
            return (TeamId::from(""), capacity, Resources::default());
        };
        let record = &tracked.record;
        let Some(step) = record.spec().steps.get(usize::from(key.task.step)) else {
            return (record.submission.team.clone(), capacity, Resources::default());
        };
        (record.submission.team.clone(), step.reserved(), step.need)
    }

    /// Records that a worker reported a run of the job.
    pub(crate) fn mark_started(&mut self, id: &JobKey) {
        if let Some(tracked) = self.jobs.get_mut(id) {
            tracked.may_have_started = true;
        }
    }

    /// Ends an open job and stops its runs; a job that has already ended is only recorded again.
    pub(crate) fn end_job(&mut self, now: Now, id: &JobKey, phase: JobPhase) {
        let Some(tracked) = self.jobs.get_mut(id) else {
            return;
        };
        if tracked.record.phase != JobPhase::Open {
            self.dirty_jobs.insert(id.clone());
            return;
        }
        tracked.record.end(phase, now.wall_ms());
        self.dirty_jobs.insert(id.clone());
        for worker in self.workers.values_mut() {
            for (key, run) in &mut worker.runs {
                if key.task.job == *id && run.phase != RunPhase::Intended {
                    run.stop();
                }
            }
        }
        self.job_ended(now, id);
    }

    /// Removes a job that has just ended from the open jobs and logs how it ended.
    pub(crate) fn job_ended(&mut self, now: Now, id: &JobKey) {
        self.open_jobs.remove(id);
        self.advice.retain(|(job, _, _), _| job != id);
        let record = &self.jobs[id].record;
        let phase = match record.phase {
            JobPhase::Open => "open",
            JobPhase::Completed => "completed",
            JobPhase::Failed => "failed",
            JobPhase::Cancelled => "cancelled",
        };
        let decision = Decision::Closed {
            job: id.clone(),
            phase,
            age_ms: now.wall_ms().saturating_sub(record.submission.received_ms),
            objective_ms: self.objective_ms(record),
        };
        self.log_decision(decision);
    }

    /// Failed runs of one task after which the job fails; unlimited for an unknown queue.
    pub(crate) fn max_attempts(&self, job: &JobKey) -> u32 {
        let queue = self.jobs.get(job).and_then(|it| self.queue_of(&it.record));
        queue.map_or(u32::MAX, |it| it.max_attempts.max(1))
    }

    /// Configuration of the queue that took a job; `None` if the queue no longer exists.
    pub(crate) fn queue_of(&self, record: &JobRecord) -> Option<&Queue> {
        self.catalog.queues.get(&record.submission.queue).map(|it| &**it)
    }

    /// Time from a job's arrival within which it should complete by the objective of its
    /// queue, milliseconds.
    pub(crate) fn objective_ms(&self, record: &JobRecord) -> u64 {
        let (slack_factor, target_ms) = self.queue_of(record).map_or((1.0, 0), |it| (it.slack_factor, it.target_ms));
        ((record.spec().critical_path_ms() as f64 * slack_factor) as u64).saturating_add(target_ms)
    }

    /// Removes a run from its worker and from its team's usage.
    pub(crate) fn release_run(&mut self, id: &InstanceId, key: &RunKey) -> Option<Run> {
        let run = self.workers.get_mut(id)?.remove(key)?;
        self.unexpected_runs.remove(key);
        self.start_window.remove(key);
        if let Some(usage) = self.usage.get_mut(&run.team) {
            *usage -= run.need;
        }
        Some(run)
    }

    /// Handles a run that does not take place: if it is the current run of its task, the
    /// task waits to be placed again. `how` is the reason in the decision log.
    pub(crate) fn requeue_task(&mut self, id: &InstanceId, key: &RunKey, how: &'static str) {
        self.log_run_end(id, key, how);
        if !self.is_current(id, key) {
            return;
        }
        let tracked = self.jobs.get_mut(&key.task.job).expect("a current run has a job");
        let position = tracked.record.position(&key.task).expect("a current run has a task");
        tracked.record.tasks[position].state = TaskState::Waiting;
        self.dirty_jobs.insert(key.task.job.clone());
    }

    /// Returns the tasks of runs that were removed from a worker to the waiting tasks.
    pub(crate) fn requeue_lost_runs(&mut self, id: &InstanceId, runs: Vec<(RunKey, Run)>, how: &'static str) {
        for (key, run) in runs {
            self.unexpected_runs.remove(&key);
            self.start_window.remove(&key);
            if let Some(usage) = self.usage.get_mut(&run.team) {
                *usage -= run.need;
            }
            self.requeue_task(id, &key, how);
        }
    }

    /// Logs that a run has ended or did not take place; `how` is its outcome in the log line.
    pub(crate) fn log_run_end(&mut self, id: &InstanceId, key: &RunKey, how: &'static str) {
        self.log_decision(Decision::Ended {
            job: key.task.job.clone(),
            task: (key.task.turn, key.task.step, key.task.index),
            run: key.run,
            worker: id.clone(),
            how,
        });
    }

    /// Whether the team of a job has no cap, or a grant that has not expired.
    pub(crate) fn has_grant(&self, job: &JobKey) -> bool {
        let Some(tracked) = self.jobs.get(job) else {
            return false;
        };
        let team = &tracked.record.submission.team;
        let is_limited = self.catalog.teams.get(team).is_some_and(|it| !it.cap.is_zero());
        !is_limited || self.team_limits.grants.contains_key(team)
    }

    /// Resources that a team may use in these pools: its granted share, at most its cap.
    /// A cap of zero means that the resource is not limited.
    pub(crate) fn team_limit(&self, team: &TeamId) -> Resources {
        let cap = match self.catalog.teams.get(team) {
            Some(it) => it.cap,
            None => Resources::default(),
        };
        let granted = self.team_limits.grants.get(team).copied().unwrap_or_default();
        let limit = |cap: u64, granted: u64| if cap == 0 { u64::MAX / 4 } else { granted.min(cap) };
        Resources {
            cpu: limit(cap.cpu, granted.cpu),
            mem: limit(cap.mem, granted.mem),
            gpu: limit(cap.gpu, granted.gpu),
        }
    }

    /// Records that a later owner writes to the log. This owner makes no further decisions.
    pub fn fence(&mut self) {
        self.fenced = true;
    }

    /// Places no new tasks on a worker until a time and returns whether the worker has no
    /// runs. Without `wait`, a worker that has runs stays in service.
    pub fn vacate(&mut self, now: Now, id: &InstanceId, until: Duration, wait: bool) -> bool {
        let Some(worker) = self.workers.get_mut(id) else {
            return true;
        };
        let vacant = worker.is_observed && worker.runs.is_empty();
        if !vacant && !wait {
            return false;
        }
        if worker.vacate_until < now.mono {
            worker.vacate_since = now.mono;
        }
        worker.vacate_until = worker.vacate_until.max(until);
        vacant
    }

    /// Marks a job's record to be written with the next commit.
    pub(crate) fn mark_dirty(&mut self, id: &JobKey) {
        self.dirty_jobs.insert(id.clone());
    }

    /// Adds a line to the decision log.
    pub(crate) fn log_decision(&mut self, decision: Decision) {
        self.actions.push(Action::LogDecision(decision));
    }
}

/// Keys of all tasks of a job with their positions in the record.
pub(crate) fn task_keys<'a>(id: &'a JobKey, record: &'a JobRecord) -> impl Iterator<Item = (TaskKey, usize)> + 'a {
    let steps = record.spec().steps.iter().enumerate();
    let numbers: Vec<(u16, u32)> = steps
        .flat_map(|(step, it)| (0..it.count).map(move |index| (step as u16, index)))
        .collect();
    let occurrences = 0..record.spec().occurrences();
    let all = occurrences.flat_map(move |turn| numbers.clone().into_iter().map(move |(step, index)| (turn, step, index)));
    all.enumerate().map(|(position, (turn, step, index))| {
        let task = TaskKey {
            job: id.clone(),
            turn,
            step,
            index,
        };
        (task, position)
    })
}
