//! What became of the requests of a run.

use std::time::Duration;

use hdrhistogram::Histogram;

use super::{DEADLINE, Status, World};
use crate::measure::acceptance::{Outcome, SLOW};

impl World {
    pub(super) fn outcome(&self) -> Outcome {
        let mut waits: Histogram<u64> = Histogram::new(3).expect("the precision is valid");
        let mut recovered = waits.clone();
        let mut outcome = Outcome {
            offered: self.requests.len() as u32,
            appends: self.sent_appends,
            refused_appends: self.refused_appends,
            ..Outcome::default()
        };
        for request in &self.requests {
            let (status, at) = request.end.unwrap_or((Status::Unknown, self.now));
            let wait = (at - request.arrived).as_millis() as u64;
            let is_slow = SLOW.0 <= request.arrived && request.arrived < SLOW.1;
            outcome.offered_while_slow += u32::from(is_slow);
            match status {
                Status::Stored => {
                    outcome.accepted += 1;
                    outcome.accepted_while_slow += u32::from(is_slow);
                    outcome.broken += u32::from(!request.is_in_log);
                    waits.saturating_record(wait);
                }
                Status::Refused => {
                    outcome.refused += 1;
                    outcome.broken += u32::from(request.is_in_log);
                }
                Status::Moved | Status::Unknown => outcome.unknown += 1,
            }
            let after = SLOW.1 + Duration::from_secs(1);
            if after <= request.arrived && request.arrived < after + Duration::from_secs(1) {
                recovered.saturating_record(if status == Status::Stored {
                    wait
                } else {
                    DEADLINE.as_millis() as u64
                });
            }
        }
        outcome.wait_ms = (waits.value_at_quantile(0.5), waits.value_at_quantile(0.99));
        outcome.recovered_ms = recovered.value_at_quantile(0.5);
        outcome
    }
}
