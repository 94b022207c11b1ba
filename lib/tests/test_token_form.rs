//! Owners whose fencing tokens have different forms, at a worker that keeps the highest token.

use oriolewall::order::{ContactId, OrderOutcome, Refusal, TokenForm, fencing_token};
use testutils::owner::{OwnerFixture, step, submit, worker};

/// Time between two joins that confirm an owner.
const JOIN_INTERVAL_MS: u64 = 400;
/// Time within which a pool that changes hands is served again.
const TAKEOVER_MS: u64 = 2000;

/// A pool with one worker.
struct Pool {
    fixture: OwnerFixture,
    epoch: u64,
    /// The highest token that the worker has seen.
    highest_token: u64,
    started_ms: u64,
    clock_ms: u64,
}

impl Pool {
    /// A pool that an owner in contact form has called.
    fn new() -> Pool {
        let mut pool = Pool {
            fixture: OwnerFixture::new(vec![worker("w1")]),
            epoch: 7,
            highest_token: 0,
            started_ms: 1000,
            clock_ms: 500,
        };
        pool.run_confirmed(500);
        assert_eq!(pool.highest_token, fencing_token(7, ContactId::Numbered(1)));
        pool
    }

    fn replace_owner(&mut self, form: TokenForm) {
        self.epoch += 1;
        self.fixture.replace_owner_with(form);
        self.fixture.refresh_config();
        self.fixture.status_requests.clear();
    }

    fn restart_worker(&mut self) {
        self.highest_token = 0;
        self.started_ms += 1000;
        self.clock_ms = 0;
        self.fixture.workers[0].started_ms = self.started_ms;
        self.fixture.refresh_config();
    }

    /// Lets time pass without a confirmation of the ownership. The worker answers status requests.
    fn run(&mut self, ms: u64) {
        for _ in 0..ms / 10 {
            self.fixture.advance_ms(10);
            self.clock_ms += 10;
            for _ in std::mem::take(&mut self.fixture.status_requests) {
                let token = fencing_token(self.epoch, self.fixture.contact("w1"));
                if token < self.highest_token {
                    self.fixture.fail_status("w1", OrderOutcome::Refused(Refusal::Fenced));
                    continue;
                }
                self.highest_token = token;
                self.fixture
                    .report_incarnation("w1", self.started_ms, self.clock_ms, vec![], vec![]);
            }
        }
    }

    fn run_confirmed(&mut self, ms: u64) {
        for _ in 0..ms.div_ceil(JOIN_INTERVAL_MS) {
            self.fixture.owner.confirm_ownership(self.fixture.now.mono);
            self.run(JOIN_INTERVAL_MS);
        }
    }

    /// Submits a job and returns whether a start order reaches the worker and is accepted.
    fn serves(&mut self, job: &str) -> bool {
        let orders = self.fixture.starts.len();
        self.fixture.add_request(job, submit("", vec![step(1, 1000)]));
        self.run_confirmed(TAKEOVER_MS);
        let order = self.fixture.starts.get(orders);
        order.is_some_and(|it| self.highest_token <= fencing_token(self.epoch, it.contact))
    }
}

#[test]
fn a_pool_does_not_stand_still_when_the_form_changes_from_contact_to_epoch_and_back() {
    let mut pool = Pool::new();
    for (job, form) in [
        ("a", TokenForm::Epoch),
        ("b", TokenForm::Epoch),
        ("c", TokenForm::Contact),
        ("d", TokenForm::Epoch),
    ] {
        pool.replace_owner(form);
        assert!(pool.serves(job), "{form:?} at epoch {}", pool.epoch);
        assert!(!pool.fixture.owner.is_fenced(), "{form:?} at epoch {}", pool.epoch);
    }
}

#[test]
fn an_owner_in_epoch_form_takes_no_worker_back_from_a_later_owner() {
    let mut pool = Pool::new();
    pool.restart_worker();
    pool.replace_owner(TokenForm::Epoch);
    pool.run_confirmed(400);
    // An owner of an earlier build, which the group has given the pool.
    pool.highest_token = pool.epoch + 1;
    pool.run(TAKEOVER_MS);
    assert_eq!(pool.highest_token, pool.epoch + 1);
    assert_eq!(pool.fixture.contact("w1"), ContactId::Unnumbered);
}

#[test]
fn a_worker_that_has_restarted_hears_the_epoch_form_again() {
    let mut pool = Pool::new();
    pool.replace_owner(TokenForm::Epoch);
    assert!(pool.serves("a"));
    assert!(1 << 24 <= pool.highest_token, "the worker refuses the epoch alone");
    pool.restart_worker();
    pool.fixture.fail_status("w1", OrderOutcome::Lost);
    pool.run_confirmed(TAKEOVER_MS);
    assert_eq!(pool.highest_token, pool.epoch, "an earlier build could take the pool over");
}

#[test]
fn an_answer_in_epoch_form_does_not_settle_an_unanswered_order_before_it_expires() {
    let mut pool = Pool::new();
    pool.restart_worker();
    pool.replace_owner(TokenForm::Epoch);
    pool.run_confirmed(400);
    pool.fixture.add_request("job", submit("", vec![step(1, 1000)]));
    pool.run(100);
    assert_eq!(pool.fixture.starts.len(), 1);
    pool.fixture.fail_status("w1", OrderOutcome::Lost);
    pool.run(600);
    assert_eq!(pool.fixture.starts.len(), 1, "the order may still be carried out");
    pool.run(1000);
    assert_eq!(pool.fixture.starts.len(), 2, "the order has expired");
}

#[test]
fn an_answer_in_epoch_form_does_not_settle_an_order_to_an_earlier_incarnation_at_once() {
    let mut pool = Pool::new();
    pool.restart_worker();
    pool.replace_owner(TokenForm::Epoch);
    pool.run_confirmed(400);
    pool.fixture.add_request("job", submit("", vec![step(1, 1000)]));
    pool.run(50);
    assert_eq!(pool.fixture.starts.len(), 1);
    pool.restart_worker();
    pool.fixture.fail_status("w1", OrderOutcome::Lost);
    pool.run(900);
    assert_eq!(pool.fixture.starts.len(), 1, "the order may reach the new incarnation");
    pool.run(1000);
    assert_eq!(pool.fixture.starts.len(), 2, "the order is given up");
}

#[test]
fn tokens_of_one_form_rise_with_each_owner_and_contact() {
    let contacts = [ContactId::Unnumbered, ContactId::Numbered(1), ContactId::Numbered(u32::MAX)];
    for contact in contacts {
        assert!(fencing_token(5, contact) < fencing_token(6, contact));
        assert!(fencing_token(5, contact) < fencing_token(6, ContactId::Numbered(1)));
    }
    assert!(fencing_token(5, ContactId::Numbered(1)) < fencing_token(5, ContactId::Numbered(2)));
}

#[test]
fn an_owner_in_epoch_form_has_one_status_request_in_flight() {
    // The answers to two requests could not be told apart, and the earlier one ended a run.
    let mut pool = Pool::new();
    pool.restart_worker();
    pool.replace_owner(TokenForm::Epoch);
    pool.run_confirmed(400);
    pool.fixture.add_request("job", submit("", vec![step(1, 1000)]));
    pool.fixture.advance_ms(100);
    let (start, requests) = (pool.fixture.starts[0].clone(), pool.fixture.status_requests.len());
    assert_eq!(requests, 1);
    pool.fixture.answer_start(&start, OrderOutcome::Lost);
    pool.fixture.advance_ms(100);
    assert_eq!(pool.fixture.status_requests.len(), requests);
}

#[test]
fn a_worker_that_restarts_twice_is_observed_in_epoch_form() {
    // The first restart was seen under a number, and each later answer counted as outdated.
    let mut pool = Pool::new();
    pool.replace_owner(TokenForm::Epoch);
    assert!(pool.serves("a"));
    pool.restart_worker();
    pool.run_confirmed(TAKEOVER_MS);
    pool.restart_worker();
    pool.fixture.fail_status("w1", OrderOutcome::Lost);
    assert!(pool.serves("b"));
}
