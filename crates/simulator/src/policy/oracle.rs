//! An oracle: it sees every machine as it is and sends a job where it will be done first. No real scheduler
//! can; it is the upper line of every plot. What is on its way to a machine it knows only of itself.

use nickelflow_engine::{Job, Nanos};

use super::frame::{Facts, Pick};
use super::Truth;
use crate::worker::{Up, Worker};

pub struct Oracle;

/// Expected time (ns) until a machine would be done with a job; one that stands is no choice.
fn until_done(worker: &Worker, now: Nanos, job: &Job, truth: Truth<'_>) -> f64 {
    if worker.up != Up::Serving || worker.hung {
        return f64::INFINITY;
    }
    let stall = worker.stalled.saturating_sub(now) as f64;
    let load = worker.load();
    let cores = worker.make.cores * (1.0 - worker.neighbour);
    let room = load.free_slots - load.queued >= job.slots && load.free_memory >= job.memory;
    // With room it starts at once, slower where more run than there are cores; else the backlog goes first.
    let capacity = (worker.capacity(now) * (1.0 - worker.neighbour)).max(1e-6);
    let queue = if room { 0.0 } else { worker.backlog() / capacity };
    let fetch = if job.key.is_some_and(|key| !worker.has(key)) { truth.fetch } else { 0.0 };
    let crowd = (worker.make.slots - load.free_slots + job.slots) / cores.max(0.01);
    let pace = worker.make.speed * worker.warmth(now) / crowd.max(1.0);
    stall + queue + fetch + truth.work / pace.max(1e-6)
}

impl Pick for Oracle {
    fn pick(
        &mut self,
        now: Nanos,
        job: &Job,
        of: &[u32],
        facts: &mut Facts,
        truth: Truth<'_>,
        _: &mut Vec<u32>,
    ) -> Option<u32> {
        let mut best = (f64::INFINITY, Vec::new());
        for &n in of {
            let address = facts.seen[n as usize].place.address;
            let machine = truth.addresses.get(address as usize).copied().flatten();
            let Some(worker) = machine.and_then(|m| truth.workers.get(m as usize)) else { continue };
            let expected = until_done(worker, now, job, truth);
            if expected < best.0 {
                best = (expected, vec![n]);
            } else if expected == best.0 && expected.is_finite() {
                best.1.push(n);
            }
        }
        // What would be late is turned away: it would only make others late.
        let class = &facts.settings.classes[job.class as usize];
        let useful = class.latency_objective as f64 + class.latency_stretch * truth.work;
        let left = job.deadline.saturating_sub(now) as f64;
        (best.0 <= useful.min(left)).then(|| facts.any(&best.1)).flatten()
    }
}
