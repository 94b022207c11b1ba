//! Faults of a simulated cluster, and their ends.

use std::time::Duration;

use oriolewall::entry::Event;

use super::{SimEvent, Simulation};
use crate::check::fault::{Fault, Location};
use crate::history::EventKind;
use crate::standin::log::Mode;

impl Simulation {
    pub(super) fn begin_fault(&mut self, fault: Fault) {
        match fault.clone() {
            Fault::Kill { entry, back } => {
                self.save_events(entry);
                self.entry_processes[entry].entry = None;
                self.entry_processes[entry].incarnation += 1;
                self.break_connections(entry, false);
                self.schedule(self.now + back, SimEvent::StartEntry(entry));
            }
            Fault::Stop { entry } => {
                self.entry_processes[entry].stopping = true;
                let incarnation = self.entry_processes[entry].incarnation;
                self.step_entry(entry, incarnation, Event::Stop);
            }
            Fault::Pause { entry, time } => self.entry_processes[entry].paused_until = self.now + time,
            Fault::Cut { from, to, both, time } => {
                self.cut_links.push((from, to));
                if both {
                    self.cut_links.push((to, from));
                }
                self.schedule(self.now + time, SimEvent::EndFault(fault));
            }
            Fault::Log { mode, time } => {
                self.log.mode = mode;
                self.schedule(self.now + time, SimEvent::EndFault(fault));
            }
            Fault::Worker { worker, faults, time } => {
                self.worker_mut(worker).faults = faults;
                self.schedule(self.now + time, SimEvent::EndFault(fault));
            }
            Fault::Crash { worker, time } => {
                let now_ms = self.now_ms();
                let back_ms = (self.now + time).as_millis() as u64;
                self.worker_mut(worker).crash(now_ms, back_ms);
            }
            Fault::DelayStarts { by, time } => {
                self.start_delay = Some(by);
                self.schedule(self.now + time, SimEvent::EndFault(fault));
            }
            Fault::Depart { worker, time } => self.begin_departure(worker, time, fault),
            Fault::ZoneOut { .. }
            | Fault::Restrict { .. }
            | Fault::Withdraw { .. }
            | Fault::Cap { .. }
            | Fault::Drain { .. }
            | Fault::Move { .. } => {
                self.begin_operator_action(&fault);
            }
        }
    }

    pub(super) fn begin_departure(&mut self, worker: usize, time: Duration, fault: Fault) {
        let id = self.worker_ids[worker].clone();
        self.worker_mut(worker).faults.leaving = true;
        self.list.set_presence(self.now, &id, Some(oriolewall::platform::Presence::Leaving));
        self.history.record(self.now_ms(), EventKind::Depart { worker: id.to_string() });
        self.schedule(self.now + time.max(Duration::from_secs(6)), SimEvent::EndFault(fault));
    }

    pub(super) fn end_fault(&mut self, fault: Fault) {
        match fault {
            Fault::Cut { from, to, both, .. } => {
                self.end_cut(from, to);
                if both {
                    self.end_cut(to, from);
                }
            }
            Fault::Log { .. } => self.log.mode = Mode::Up,
            Fault::Worker { worker, .. } => {
                let leaving = self.worker_mut(worker).faults.leaving;
                self.worker_mut(worker).faults = crate::standin::worker::Faults {
                    leaving,
                    ..Default::default()
                };
            }
            Fault::DelayStarts { .. } => self.start_delay = None,
            Fault::Depart { worker, .. } => {
                let id = self.worker_ids[worker].clone();
                self.worker_mut(worker).faults.leaving = false;
                self.list.set_presence(self.now, &id, Some(oriolewall::platform::Presence::Live));
                self.history.record(self.now_ms(), EventKind::Return { worker: id.to_string() });
            }
            _ => {}
        }
    }

    /// Ends one cut of a link; other faults may still cut it.
    pub(super) fn end_cut(&mut self, from: Location, to: Location) {
        if let Some(index) = self.cut_links.iter().position(|it| *it == (from, to)) {
            self.cut_links.remove(index);
        }
    }
}
