//! The clients: their requests and retries.

use super::{Client, Fleet, FleetEvent, SECOND};
use crate::common::{self, MS};
use nickelflow_dispatcher::*;

impl Fleet {
    pub(super) fn gap(&mut self, dispatcher: usize) -> Nanos {
        let rate = self.dispatchers[dispatcher].rate;
        (-(1.0 - self.rng.f64()).ln() / rate * SECOND) as Nanos + 1
    }

    pub(super) fn arrival(&mut self, dispatcher: usize) {
        let mut drawn = self.rng.f64() * self.weights.iter().sum::<f64>();
        let key = self.weights.iter().position(|w| {
            drawn -= w;
            drawn < 0.0
        });
        let class = self.case.deployment.draw_class(&mut self.rng);
        let job = &self.case.deployment.classes[class];
        let work = job.work.draw(&mut self.rng);
        let until = self.now + (job.deadline_s * SECOND) as Nanos;
        let key = key.unwrap_or(0) as u64 + 1_000 * self.seed;
        let key = self.case.deployment.has_keys.then_some(key);
        let client = self.next;
        self.next += 1;
        self.figures.requests += 1.0;
        self.clients.insert(client, Client { class, work, key, until, at: None, attempts: 0 });
        self.submit(client, Some(dispatcher));
    }

    /// Submits a client's request to a dispatcher if that is up, else to another one.
    pub(super) fn submit(&mut self, id: u64, at: Option<usize>) {
        let up = |n: &usize| self.dispatchers[*n].dispatcher.is_some();
        let all: Vec<usize> = (0..self.dispatchers.len()).filter(up).collect();
        let at = at.filter(up).unwrap_or_else(|| all[self.rng.usize(0..all.len())]);
        let Some(client) = self.clients.get_mut(&id) else { return };
        if self.now + 50 * MS > client.until || client.attempts == 255 {
            self.clients.remove(&id);
            return;
        }
        client.attempts += 1;
        client.at = Some(at);
        let request = Request {
            id: RequestId(id << 8 | client.attempts),
            class: client.class as u32,
            key: client.key.map(|key| key.wrapping_mul(0x9e37_79b9_7f4a_7c15)),
            time_left: client.until - self.now,
            is_retry: client.attempts > 1,
            ..common::request(0)
        };
        let incarnation = self.dispatchers[at].incarnation;
        self.notify(at, incarnation, Event::Request(request));
    }

    pub(super) fn schedule_retry(&mut self, request: RequestId, wait: Nanos) {
        let id = request.0 >> 8;
        if let Some(client) = self.clients.get_mut(&id) {
            client.at = None;
            self.schedule(self.now + wait.max(10 * MS), FleetEvent::Retry { client: id });
        }
    }
}
