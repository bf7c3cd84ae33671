//! What the warming workers got, against what they bear.

use super::{Figures, Fleet, REPLACED_AT};
use nickelflow_dispatcher::*;

impl Fleet {
    /// Judges what each warming worker got.
    pub(super) fn judge(&mut self, end: Nanos) {
        let deployment = &self.case.deployment;
        for worker in deployment.workers..deployment.workers + deployment.replaced {
            let figures = self.figures_of(worker, end);
            self.figures.add(figures);
        }
    }

    /// Returns the calls that a warm worker bears in a window.
    pub(super) fn max_calls(&self, worker: u32) -> f64 {
        let deployment = &self.case.deployment;
        let speed = self.machines[worker as usize].speed;
        deployment.overload_multiple * speed * deployment.capacity(worker) * deployment.overload_s
            / deployment.mean_work()
    }

    /// Returns by how much the worst window exceeds what is allowed, against what is put down to chance.
    pub(super) fn worst_window(&self, worker: u32, calls: &[(Nanos, f64)]) -> f64 {
        let window = self.settings.limits.overload_duration;
        let most = self.max_calls(worker);
        let mut after = 0;
        let (mut worst, mut sum) = (f64::MIN, 0.0);
        for (from, counted) in calls {
            while after < calls.len() && calls[after].0 < from + window {
                sum += calls[after].1;
                after += 1;
            }
            let allowed = most * self.slow_start_weight(worker, *from);
            worst = worst.max((sum - allowed) / (2.0 * allowed.sqrt() + 2.0));
            sum -= counted;
        }
        worst
    }

    pub(super) fn figures_of(&self, worker: u32, end: Nanos) -> Figures {
        let window = self.settings.limits.overload_duration;
        let machine = &self.machines[worker as usize];
        let mean_work = self.case.deployment.mean_work();
        let calls: Vec<(Nanos, f64)> = machine.calls.iter().map(|(at, _)| (*at, 1.0)).collect();
        let works: Vec<(Nanos, f64)> =
            machine.calls.iter().map(|(at, work)| (*at, work / mean_work)).collect();
        let probes = machine.probes.iter().map(|at| (*at, 1.0));
        let mut both: Vec<(Nanos, f64)> = calls.iter().copied().chain(probes).collect();
        both.sort_unstable_by_key(|(at, _)| *at);
        let early = REPLACED_AT + (end - REPLACED_AT) / 4;
        let most = self.max_calls(worker);
        let allowed = |from: Nanos, to: Nanos| {
            most * self.slow_start_weight(worker, from.midpoint(to)) * (to - from) as f64 / window as f64
        };
        Figures {
            worst_calls: self.worst_window(worker, &calls),
            worst_work: self.worst_window(worker, &works),
            worst_with_probes: self.worst_window(worker, &both),
            calls: machine.calls.len() as f64,
            allowed: allowed(REPLACED_AT, end),
            early_calls: machine.calls.iter().filter(|(at, _)| *at < early).count() as f64,
            early_allowed: allowed(REPLACED_AT, early),
            ..Figures::default()
        }
    }
}
