//! The paper's scheme as it stands there ("Optimal Hyper-Scalable Load Balancing with a Strict Queue Limit"):
//! a worker is open while its queue at its last report and what it was sent since stay under K; filled up it
//! is closed, and asked tau later. A job goes to a random open worker, and is blocked when there is none.
//! For one scheduler and workers of one slot that stand idle while open (`idle_until = K`).

use std::cmp::Reverse;
use std::collections::BinaryHeap;

use nickelflow_dispatcher::Settings;
use nickelflow_engine::{FinalAnswer, Nanos, Outcome, StartAttempt};

use super::frame::Facts;
use super::{Input, Order, Place, Policy, Truth};
use crate::random;

pub struct Bare {
    facts: Facts,
    k: u32,
    tau: Nanos,
    /// Jobs that each worker may still be sent.
    room: Vec<u32>,
    open: Vec<u32>,
    /// Where each stands among the open, if it is.
    place: Vec<Option<usize>>,
    probes: BinaryHeap<Reverse<(Nanos, u32)>>,
}

impl Bare {
    pub fn new(settings: &Settings, seed: u64, k: u32, tau: Nanos) -> Bare {
        let facts = Facts::new(settings, seed);
        Bare { facts, k, tau, room: vec![], open: vec![], place: vec![], probes: BinaryHeap::new() }
    }

    fn close(&mut self, instance: u32) {
        if let Some(place) = self.place[instance as usize].take() {
            self.open.swap_remove(place);
            if let Some(moved) = self.open.get(place) {
                self.place[*moved as usize] = Some(place);
            }
        }
    }
}

impl Policy for Bare {
    fn handle(&mut self, now: Nanos, input: Input, _: Truth<'_>, orders: &mut Vec<Order>) {
        match input {
            Input::WorkerList { kind, workers: instances } => {
                for instance in self.facts.list(kind, instances) {
                    self.room.push(0);
                    self.place.push(None);
                    let delay = random::unit(&mut self.facts.random) * self.tau as f64;
                    self.probes.push(Reverse((now + delay as Nanos, instance)));
                }
            }
            Input::Job { job_id: id, job } => {
                let open = std::mem::take(&mut self.open);
                let picked = self.facts.any(&open);
                self.open = open;
                let Some(instance) = picked else {
                    orders.push(Order::FinalAnswer {
                        job_id: id,
                        answer: FinalAnswer::Rejected { retry_after: 0 },
                    });
                    return;
                };
                let (until, send_by) = (job.deadline, u64::MAX);
                orders.push(Order::StartAttempt(StartAttempt {
                    job_id: id,
                    attempt: 0,
                    worker: instance,
                    deadline: until,
                    send_by,
                }));
                self.room[instance as usize] -= 1;
                if self.room[instance as usize] == 0 {
                    self.close(instance);
                    self.probes.push(Reverse((now + self.tau, instance)));
                }
            }
            Input::AttemptEnded { job_id: id, result: end, .. } => {
                let served = end.outcome == Outcome::Ok;
                let answer = if served { FinalAnswer::Served(()) } else { FinalAnswer::Failed };
                orders.push(Order::FinalAnswer { job_id: id, answer });
            }
            Input::ProbeCompleted { worker: instance, report, .. } => {
                let report = report.unwrap_or_default();
                let busy = if report.free_slots.unwrap_or(0.0) >= 1.0 { 0.0 } else { 1.0 };
                let queue = (busy + report.queued.unwrap_or(f64::from(self.k))) as u32;
                self.room[instance as usize] = self.k.saturating_sub(queue);
                if queue >= self.k {
                    self.probes.push(Reverse((now + self.tau, instance)));
                } else if self.place[instance as usize].is_none() {
                    self.place[instance as usize] = Some(self.open.len());
                    self.open.push(instance);
                }
            }
            Input::Wake => {
                while self.probes.peek().is_some_and(|Reverse((at, _))| *at <= now) {
                    if let Some(Reverse((_, instance))) = self.probes.pop() {
                        orders.push(Order::Probe { worker: instance });
                    }
                }
            }
            Input::ClientDisconnected { .. }
            | Input::Progress { .. }
            | Input::Streaming { .. }
            | Input::Shutdown { .. }
            | Input::Rules { .. } => {}
        }
    }

    fn next_wake(&self) -> Option<Nanos> {
        self.probes.peek().map(|Reverse((at, _))| *at)
    }

    fn place(&self, instance: u32) -> Option<Place> {
        Some(self.facts.seen.get(instance as usize)?.place)
    }
}
