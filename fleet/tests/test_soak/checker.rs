//! Checks the promises of the protocol against what callers and workers see.
//!
//! Times are those since the start of the run.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

/// Time after the acknowledgement of a cancel from which nothing of the job is started (`cancel_ms`).
pub(crate) const CANCEL_TIME: Duration = Duration::from_millis(3000);
/// Time that a worker takes for a stop (`stopTimeoutMs`).
const STOP_TIME: Duration = Duration::from_millis(200);
/// Calm time after which nothing of a cancelled job runs.
pub(crate) const GONE_TIME: Duration = CONTACT_TIME.saturating_add(CANCEL_TIME).saturating_add(STOP_TIME);
/// Time without a disturbance after which an instance and the log count as calm (`contactMs`).
pub(crate) const CONTACT_TIME: Duration = Duration::from_millis(3000);

/// A step of a job: what its tasks need, and how long they run on a sound worker.
#[derive(Clone, Debug)]
pub(crate) struct Step {
    pub(crate) count: u32,
    pub(crate) cpu: u64,
    pub(crate) mem: u64,
    pub(crate) duration: Duration,
    /// Whether it starts when the step before it has ended.
    pub(crate) follows: bool,
    /// Whether its tasks run until the job is cancelled.
    pub(crate) lasting: bool,
}

/// What its callers know of a job.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Standing {
    /// No attempt to submit it has succeeded so far, and one may have been stored.
    Unknown,
    /// All attempts were refused, and there will be no more.
    Refused,
    Accepted(Duration),
}

#[derive(Debug)]
pub(crate) struct Job {
    pub(crate) payload: String,
    pub(crate) steps: Vec<Step>,
    pub(crate) standing: Standing,
    pub(crate) cancel_sent: bool,
    pub(crate) cancelled_at: Option<Duration>,
    pub(crate) completed: bool,
    /// When a task of the job last ran.
    pub(crate) last_run: Duration,
    started: bool,
}

/// A run as its worker has carried it out.
#[derive(Debug)]
struct Run {
    number: u32,
    place: String,
    started: Duration,
    ended: Option<Duration>,
    done: bool,
    /// Whether an acknowledgement covered the end.
    noted: bool,
}

/// A start as a worker carries it out.
#[derive(Debug)]
pub(crate) struct Start<'a> {
    pub(crate) task: &'a str,
    pub(crate) number: u32,
    pub(crate) payload: &'a str,
    /// Worker and its life.
    pub(crate) place: String,
    /// Who sent it, under which token, and whether it was carried out late.
    pub(crate) origin: String,
    pub(crate) late: bool,
    /// Whether the sender and the log are calm.
    pub(crate) calm: bool,
}

#[derive(Debug, Default)]
pub(crate) struct Checker {
    pub(crate) jobs: BTreeMap<String, Job>,
    tasks: BTreeMap<String, Vec<Run>>,
    history: BTreeMap<String, Vec<String>>,
    /// Broken rules, with the task or job concerned.
    pub(crate) violations: Vec<(String, String)>,
    /// When half of a pool's capacity or more was last in use.
    pub(crate) last_busy: Duration,
    reported: BTreeSet<String>,
}

impl Job {
    pub(crate) fn new(payload: String, steps: Vec<Step>) -> Job {
        Job {
            payload,
            steps,
            standing: Standing::Unknown,
            cancel_sent: false,
            cancelled_at: None,
            completed: false,
            last_run: Duration::ZERO,
            started: false,
        }
    }

    pub(crate) fn is_lasting(&self) -> bool {
        self.steps.iter().any(|it| it.lasting)
    }

    pub(crate) fn is_accepted(&self) -> bool {
        matches!(self.standing, Standing::Accepted(_))
    }
}

/// Splits the name of a task into job, step and index.
fn split(task: &str) -> (&str, usize, u32) {
    let mut parts = task.split('.');
    let job = parts.next().unwrap_or_default();
    let mut number = || parts.next().and_then(|it| it.parse::<u32>().ok()).unwrap_or(u32::MAX);
    let (_turn, step, index) = (number(), number(), number());
    (job, step as usize, index)
}

impl Checker {
    /// Records a broken rule once for each job or task.
    pub(crate) fn broken(&mut self, now: Duration, rule: &str, subject: &str, what: &str) {
        if !self.reported.insert(format!("{rule} {subject}")) {
            return;
        }
        let line = format!("{rule} {subject} at {:.3}: {what}", now.as_secs_f64());
        self.violations.push((subject.to_owned(), line));
    }

    pub(crate) fn note(&mut self, now: Duration, subject: &str, what: String) {
        let lines = self.history.entry(subject.to_owned()).or_default();
        lines.push(format!("{:.3} {what}", now.as_secs_f64()));
    }

    /// Returns the lines about a job and its tasks.
    pub(crate) fn history_of(&self, subject: &str) -> Vec<String> {
        let job = split(subject).0;
        let lines = self.history.iter().filter(|(key, _)| *key == subject || *key == job);
        lines
            .flat_map(|(key, lines)| lines.iter().map(move |it| format!("{key} {it}")))
            .collect()
    }

    /// When a task of a job last began; `None` if none has.
    pub(crate) fn last_start(&self, job: &str) -> Option<Duration> {
        let tasks = self.tasks.iter().filter(|(task, _)| split(task).0 == job);
        tasks.flat_map(|(_, runs)| runs).map(|it| it.started).max()
    }

    /// Returns the step of a task, if a caller sent it.
    pub(crate) fn step(&self, task: &str) -> Option<&Step> {
        let (job, step, index) = split(task);
        self.jobs.get(job)?.steps.get(step).filter(|it| index < it.count)
    }

    /// Checks a start before the worker carries it out.
    pub(crate) fn start(&mut self, now: Duration, start: &Start<'_>) {
        let (job_id, step_index, _) = split(start.task);
        self.note(
            now,
            start.task,
            format!("run {} starts on {} by {}", start.number, start.place, start.origin),
        );
        let mut broken = Vec::new();
        match self.jobs.get_mut(job_id) {
            Some(job) => {
                job.started = true;
                job.last_run = now;
                if job.payload != start.payload {
                    broken.push(("UNASKED", "the payload is not the job's".to_owned()));
                }
                if let Some(at) = job.cancelled_at
                    && at + CANCEL_TIME < now
                    && start.calm
                    && !start.late
                {
                    broken.push(("UNASKED", format!("the cancel was acknowledged at {:.3}", at.as_secs_f64())));
                }
            }
            None => broken.push(("UNASKED", "nobody sent the job".to_owned())),
        }
        if self.step(start.task).is_none() {
            broken.push(("UNASKED", "the job has no such task".to_owned()));
        }
        if self.step(start.task).is_some_and(|it| it.follows) && !self.is_step_done(job_id, step_index - 1) {
            broken.push(("ORDER", "the step before has not ended".to_owned()));
        }
        let runs = self.tasks.entry(start.task.to_owned()).or_default();
        if let Some(other) = runs.iter().find(|it| it.ended.is_none()) {
            let since = other.started.as_secs_f64();
            broken.push(("TWICE", format!("run {} is on {} since {since:.3}", other.number, other.place)));
        }
        if let Some(done) = runs.iter().find(|it| it.noted) {
            broken.push(("TWICE", format!("run {} ended done on {}, acknowledged", done.number, done.place)));
        }
        runs.push(Run {
            number: start.number,
            place: start.place.clone(),
            started: now,
            ended: None,
            done: false,
            noted: false,
        });
        for (rule, what) in broken {
            let what = format!("run {} on {} by {}: {what}", start.number, start.place, start.origin);
            self.broken(now, rule, start.task, &what);
        }
    }

    fn run(&mut self, task: &str, number: u32, place: &str) -> Option<&mut Run> {
        let runs = self.tasks.get_mut(task)?;
        runs.iter_mut().rev().find(|it| it.number == number && it.place == place)
    }

    /// Records the end of a run.
    pub(crate) fn end(&mut self, at: Duration, task: &str, number: u32, place: &str, how: &str) {
        self.note(at, task, format!("run {number} on {place} ends: {how}"));
        if let Some(run) = self.run(task, number, place) {
            run.ended = Some(at);
            run.done = how == "done";
        }
        if let Some(job) = self.jobs.get_mut(split(task).0) {
            job.last_run = job.last_run.max(at);
        }
    }

    /// Records that an acknowledgement covered the end of a run, which stands for good.
    pub(crate) fn acknowledge(&mut self, now: Duration, task: &str, number: u32, place: &str, origin: &str) {
        self.note(now, task, format!("end of run {number} on {place} acknowledged by {origin}"));
        let Some(run) = self.run(task, number, place).filter(|it| it.done) else {
            return;
        };
        run.noted = true;
        let ended = run.ended.unwrap_or(now);
        let later = self.tasks[task]
            .iter()
            .find(|it| ended < it.started)
            .map(|it| (it.number, it.place.clone()));
        if let Some((later, there)) = later {
            let what = format!("run {number} on {place} had ended done when run {later} started on {there}; acknowledged by {origin}");
            self.broken(now, "TWICE", task, &what);
        }
    }

    fn is_step_done(&self, job: &str, step: usize) -> bool {
        let count = self.jobs.get(job).and_then(|it| it.steps.get(step)).map_or(0, |it| it.count);
        let done = |index| {
            self.tasks
                .get(&format!("{job}.0.{step}.{index}"))
                .is_some_and(|it| it.iter().any(|run| run.done))
        };
        (0..count).all(done)
    }

    /// Records that a caller was told that a job has completed.
    pub(crate) fn completed(&mut self, now: Duration, id: &str) {
        let Some(job) = self.jobs.get_mut(id) else {
            return;
        };
        job.completed = true;
        let steps = job.steps.len();
        if !(0..steps).all(|step| self.is_step_done(id, step)) {
            self.broken(now, "MIXED", id, "shown as completed while a task has not ended so");
        }
    }

    /// Returns the tasks of a lasting job that are not running.
    pub(crate) fn missing_tasks(&self, id: &str) -> Vec<String> {
        let Some(job) = self.jobs.get(id) else {
            return Vec::new();
        };
        let names = job
            .steps
            .iter()
            .enumerate()
            .flat_map(|(step, it)| (0..it.count).map(move |index| format!("{id}.0.{step}.{index}")));
        names.filter(|it| !self.is_running(it)).collect()
    }

    fn is_running(&self, task: &str) -> bool {
        self.tasks.get(task).is_some_and(|it| it.iter().any(|run| run.ended.is_none()))
    }

    /// Checks what must hold at the end of a run, [`GONE_TIME`] or more after the last fault.
    pub(crate) fn finish(&mut self, now: Duration) {
        let refused = self.jobs.iter().filter(|(_, it)| it.standing == Standing::Refused && it.started);
        let refused: Vec<String> = refused.map(|(id, _)| id.clone()).collect();
        for id in refused {
            self.broken(
                now,
                "REFUSED",
                &id,
                "a task started, and all attempts to submit the job were refused",
            );
        }
        let is_due = |at: Duration| at + CANCEL_TIME + STOP_TIME < now;
        let cancelled = |task: &str| self.jobs.get(split(task).0).and_then(|it| it.cancelled_at).is_some_and(is_due);
        let left: Vec<String> = self
            .tasks
            .keys()
            .filter(|it| cancelled(it) && self.is_running(it))
            .cloned()
            .collect();
        for task in left {
            self.broken(now, "UNASKED", &task, "still runs at the end, and its job was cancelled");
        }
    }
}
