//! The machines that a scenario is made of, and what pushes a cold one over: what the worlds in virtual time
//! and the stand-ins on real sockets have in common.

use std::collections::VecDeque;

use crate::random::{self, Random};
use crate::scenario::Scenario;
use crate::time::{seconds, Nanos};
use crate::worker::Make;

/// One machine before its first job.
#[derive(Clone, Debug)]
pub struct Machine {
    pub make: Make,
    /// Machines of a number drop each other's repeats and fail together; racks count from 1.
    pub rack: u32,
    /// It has just started when the run begins.
    pub cold: bool,
}

/// All machines of a scenario, pool after pool; their speeds are drawn.
pub fn machines(scenario: &Scenario, random: &mut Random) -> Vec<Machine> {
    let mut machines = Vec::new();
    let mut rack = 0;
    for pool in &scenario.pools {
        for number in 0..pool.count.0 as u32 {
            if number % (pool.rack.0 as u32) == 0 {
                rack += 1;
            }
            let make = Make {
                cores: pool.cores.0,
                slots: pool.slots.0,
                memory: pool.memory.map_or(pool.slots.0, |memory| memory.0),
                speed: random::between(random, pool.speed.both()),
                queue: scenario.workers.queue.0 as usize,
                order: scenario.workers.order,
                thrash: scenario.workers.thrash.0,
                idle_until: scenario.workers.idle_until.0 as usize,
                cold_from: scenario.rules.cold_from.0,
                cold: seconds(scenario.rules.cold_s.0),
                keys_kept: scenario.data.as_ref().map_or(1, |data| data.kept.0 as usize),
                cancel_stops: scenario.workers.cancel_stops,
            };
            machines.push(Machine { make, rack, cold: pool.cold });
        }
    }
    machines
}

/// The work that reached a cold machine within the rule's window.
#[derive(Default)]
pub struct Pressure(VecDeque<(Nanos, f64)>);

impl Pressure {
    /// Counts work (ns of a standard core) that arrives at a machine that can do so much per ns now. Tells what
    /// the window holds, as a part of what pushes the machine over: `multiple` times what it can do, and two
    /// of the largest jobs for chance.
    pub fn add(&mut self, now: Nanos, work: f64, capacity: f64, multiple: f64, window: Nanos) -> f64 {
        self.0.push_back((now, work));
        while self.0.front().is_some_and(|(at, _)| at + window < now) {
            self.0.pop_front();
        }
        let sum: f64 = self.0.iter().map(|(_, work)| work).sum();
        let largest = self.0.iter().map(|(_, work)| *work).fold(0.0, f64::max);
        sum / (multiple * capacity * window as f64 + 2.0 * largest)
    }

    pub fn clear(&mut self) {
        self.0.clear();
    }
}
