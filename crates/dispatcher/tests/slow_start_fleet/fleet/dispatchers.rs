//! The dispatchers: their starts and stops, their events and actions.

use super::{Attempt, AttemptEnd, Fleet, FleetEvent, NETWORK_DELAY, SECOND};
use crate::common::{entry, MS};
use crate::deployment::Deployment;
use nickelflow_dispatcher::*;

impl Fleet {
    pub(super) fn entries(&self) -> Vec<WorkerEntry> {
        let kind = |n: u32| if self.case.deployment.lists_kinds { n % 2 } else { 0 };
        let of = |n: &u32| WorkerEntry {
            started_at: self.machines[*n as usize].started,
            kind: kind(*n),
            ..entry(*n)
        };
        self.listed.iter().map(of).collect()
    }

    pub(super) fn start_dispatcher(&mut self, dispatcher: usize) {
        let made = Dispatcher::new(self.settings.clone(), self.rng.u64(..)).expect("settings work");
        self.dispatchers[dispatcher].dispatcher = Some(made);
        let entries = self.entries();
        let incarnation = self.dispatchers[dispatcher].incarnation;
        self.notify(dispatcher, incarnation, Event::WorkerList { kind: ListKind::Complete, entries });
    }

    /// Stops a dispatcher. Its clients notice, and retry at others.
    pub(super) fn stop_dispatcher(&mut self, dispatcher: usize) {
        self.dispatchers[dispatcher].dispatcher = None;
        self.dispatchers[dispatcher].incarnation += 1;
        let mut left = vec![];
        for (id, client) in self.clients.iter_mut().filter(|(_, client)| client.at == Some(dispatcher)) {
            client.at = None;
            left.push(*id);
        }
        for client in left {
            let at = self.now + self.rng.u64(100 * MS..500 * MS);
            self.schedule(at, FleetEvent::Retry { client });
        }
    }

    /// Replaces some of the workers by ones that have just started; all dispatchers get the new list at once.
    pub(super) fn replace(&mut self) {
        let Deployment { workers, replaced, outage_s, .. } = self.case.deployment;
        self.used = (replaced..workers + replaced).collect();
        for worker in workers..workers + replaced {
            self.machines[worker as usize].started = Some(self.now);
        }
        self.schedule(self.now + (outage_s * SECOND) as Nanos, FleetEvent::UpdateLists);
    }

    pub(super) fn update_lists(&mut self) {
        self.listed = self.used.clone();
        for dispatcher in 0..self.dispatchers.len() {
            let entries = self.entries();
            let incarnation = self.dispatchers[dispatcher].incarnation;
            self.notify(dispatcher, incarnation, Event::WorkerList { kind: ListKind::Complete, entries });
        }
    }

    pub(super) fn notify(&mut self, dispatcher: usize, incarnation: u32, event: Event) {
        let slot = &mut self.dispatchers[dispatcher];
        if slot.incarnation != incarnation {
            return;
        }
        let Some(decisions) = &mut slot.dispatcher else { return };
        let mut actions = vec![];
        decisions.handle(self.now, event, &mut actions);
        for action in actions {
            let arrival = self.now + NETWORK_DELAY;
            match action {
                Action::Wake { at } => self.schedule(at, FleetEvent::Wake { dispatcher, incarnation }),
                Action::Send { request, worker, .. } => {
                    let number = self.attempt_count(request);
                    let attempt =
                        Attempt { dispatcher, incarnation, client: request.0, number, worker: worker.0 };
                    self.sent.entry(request.0).or_default().push(worker.0);
                    self.schedule(arrival, FleetEvent::AttemptArrives { attempt });
                }
                Action::Cancel { request, attempt: number } => {
                    let worker = self.sent[&request.0][number as usize];
                    let attempt = Attempt { dispatcher, incarnation, client: request.0, number, worker };
                    self.schedule(arrival, FleetEvent::Cancel { attempt });
                }
                Action::Probe { worker } => {
                    self.schedule(
                        arrival,
                        FleetEvent::ProbeArrives { dispatcher, incarnation, worker: worker.0 },
                    );
                }
                Action::Reject { request, retry_after } => self.schedule_retry(request, retry_after),
                Action::Fail { request } => self.schedule_retry(request, 100 * MS),
                Action::Subscribe => {}
            }
        }
    }

    pub(super) fn attempt_count(&self, request: RequestId) -> u32 {
        self.sent.get(&request.0).map_or(0, |sent| sent.len() as u32)
    }

    /// Brings the outcome of an attempt back to its dispatcher.
    pub(super) fn attempt_ended(&mut self, attempt: Attempt, end: AttemptEnd) {
        let outcome = match end {
            AttemptEnd::Served => Outcome::Ok,
            AttemptEnd::Cancelled => Outcome::Cancelled,
            AttemptEnd::Rejected => Outcome::Rejected,
        };
        let request_is_finished = outcome == Outcome::Ok;
        let here = self.dispatchers[attempt.dispatcher].incarnation == attempt.incarnation;
        if request_is_finished && here && self.clients.remove(&(attempt.client >> 8)).is_some() {
            self.figures.served += 1.0;
        }
        let request = RequestId(attempt.client);
        let event = Event::AttemptEnded {
            request,
            attempt: attempt.number,
            outcome,
            request_is_finished,
            report: None,
        };
        self.notify(attempt.dispatcher, attempt.incarnation, event);
    }
}
