//! Contact of the owner of a pool with its workers: under which contact each is called, and
//! whether it answers.

use std::time::Duration;

use crate::clock::Now;
use crate::decision::Decision;
use crate::id::InstanceId;
use crate::order::{ContactId, MAX_CONTACT, TokenForm};
use crate::scheduler::Scheduler;

impl Scheduler {
    /// Begins a numbered contact with workers that refused the epoch before `at`. There was no
    /// later owner then, so the higher token is a numbered one of an earlier owner.
    pub(crate) fn number_refused_contacts(&mut self, at: Duration) {
        let refused = self.workers.values().filter(|it| it.refused_at.is_some_and(|it| it < at));
        let refused: Vec<InstanceId> = refused.map(|it| it.listed.id.clone()).collect();
        for id in refused {
            let contact = self.next_numbered_contact();
            let worker = self.workers.get_mut(&id).expect("the id comes from the map");
            worker.refused_at = None;
            worker.begin_contact(contact);
            worker.next_status_request = at;
            self.log_decision(Decision::Numbered { worker: id });
        }
    }

    /// Returns the contact under which a worker is called next.
    pub(crate) fn next_contact(&mut self) -> ContactId {
        match self.token_form {
            TokenForm::Epoch => ContactId::Unnumbered,
            TokenForm::Contact => self.next_numbered_contact(),
        }
    }

    /// Returns a contact that has not been used yet. An owner that has none left ends.
    fn next_numbered_contact(&mut self) -> ContactId {
        self.fenced |= self.last_contact == MAX_CONTACT;
        self.last_contact = (self.last_contact + 1).min(MAX_CONTACT);
        ContactId::Numbered(self.last_contact)
    }

    /// Calls a worker under a new contact, starting with a status request.
    pub(crate) fn begin_contact(&mut self, now: Now, id: &InstanceId) {
        let contact = self.next_contact();
        if let Some(worker) = self.workers.get_mut(id) {
            worker.begin_contact(contact);
            worker.next_status_request = now.mono;
        }
    }

    /// Handles the refusal of a call under a contact because of a higher fencing token, unless
    /// that is the token of a later contact of this owner. A numbered one is exceeded only by a
    /// later owner, so this one ends. The worker is asked again otherwise.
    pub(crate) fn call_fenced(&mut self, id: &InstanceId, contact: ContactId) {
        let Some(worker) = self.workers.get_mut(id).filter(|it| it.contact == contact) else {
            return;
        };
        match contact {
            ContactId::Numbered(_) => self.fenced = true,
            ContactId::Unnumbered => worker.is_observed = false,
        }
    }

    /// Counts a call without an answer, and logs the first one as loss of contact.
    pub(crate) fn record_missed_answer(&mut self, id: &InstanceId) {
        let Some(worker) = self.workers.get_mut(id) else {
            return;
        };
        worker.missed_answers += 1;
        if worker.missed_answers == 1 {
            let runs = worker.runs.len();
            self.log_decision(Decision::Contact {
                worker: id.clone(),
                answers: false,
                runs,
            });
        }
    }

    /// Resets the count of missed answers, and logs if contact was lost before.
    pub(crate) fn record_answer(&mut self, id: &InstanceId) {
        let Some(worker) = self.workers.get_mut(id) else {
            return;
        };
        if worker.missed_answers != 0 {
            worker.missed_answers = 0;
            let runs = worker.runs.len();
            self.log_decision(Decision::Contact {
                worker: id.clone(),
                answers: true,
                runs,
            });
        }
    }
}
