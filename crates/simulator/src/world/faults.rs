//! The timeline of what goes wrong.

use rand::seq::SliceRandom;

use super::{Cut, Ev, Machine, World};
use crate::discovery::Listing;
use crate::policy::Input;
use crate::random::{self, Concern, Random};
use crate::record::{Record, Standing};
use crate::scenario::What;
use crate::time::{millis, seconds, Nanos, MS};
use crate::worker::{Up, Worker};

/// From being told to end: the front sends nobody any more; all must be answered; the process is killed.
const DOOR: Nanos = 2_600 * MS;
const ANSWERED: Nanos = 3_300 * MS;
const KILLED: Nanos = 3_700 * MS;

impl World<'_> {
    /// Draws whom each fault meets, and asks for its begin.
    pub(super) fn begin_faults(&mut self) {
        for (number, fault) in self.scenario.faults.iter().enumerate() {
            let mut random = random::stream(self.seed, Concern::Faults, number as u64);
            let among: Vec<u32> = match fault.what {
                What::KillScheduler | What::RestartScheduler => (0..self.schedulers.len() as u32).collect(),
                What::RackLost => {
                    let mut racks: Vec<u32> = self.machines.iter().map(|m| m.rack).collect();
                    racks.dedup();
                    racks
                }
                _ => (0..self.workers.len() as u32).collect(),
            };
            let many = if fault.count.0 > 0.0 {
                fault.count.0 as usize
            } else {
                (fault.part.0 * among.len() as f64).round().max(1.0) as usize
            };
            let mut met = drawn(among, many, &mut random);
            if matches!(fault.what, What::RackLost) {
                let racks = met;
                let all = 0..self.machines.len() as u32;
                met = all.filter(|m| racks.contains(&self.machines[*m as usize].rack)).collect();
            }
            self.met.push(met);
            self.at(seconds(fault.at_s.0), Ev::Fault { fault: number as u32, step: 0 });
        }
    }

    /// A fault begins (step 0) or ends (1).
    pub(super) fn fault(&mut self, number: u32, step: u32) {
        let fault = &self.scenario.faults[number as usize];
        let met = self.met[number as usize].clone();
        let begins = step == 0;
        let lasts = seconds(fault.for_s.0);
        if begins && lasts > 0 && !matches!(fault.what, What::RollingRestart { .. }) {
            self.at(self.now + lasts, Ev::Fault { fault: number, step: 1 });
        }
        match &fault.what {
            What::Hang => {
                for machine in met {
                    self.with(machine, |worker, now, effects| {
                        worker.hung = begins;
                        worker.finish(now, effects);
                    });
                }
            }
            What::StandStill { .. } | What::Neighbour { .. } => {
                for worker in met.into_iter().filter(|_| begins) {
                    self.machine(worker, number, 0);
                }
            }
            What::LateReports { by_s } => self.report_lag = if begins { seconds(by_s.0) } else { 0 },
            What::Resets { part } => {
                self.resets = if begins { part.0 } else { self.scenario.network.resets.0 };
            }
            What::Vanish | What::RackLost => {
                for machine in met {
                    if begins {
                        self.stop(machine, Up::Vanished);
                        self.list_change(machine, Standing::Gone);
                    } else if self.workers[machine as usize].up == Up::Vanished {
                        self.start(machine);
                        self.list_change(machine, Standing::Ready);
                    }
                }
            }
            What::RollingRestart { .. } => {
                let each = lasts / met.len().max(1) as Nanos;
                for (turn, worker) in met.into_iter().enumerate() {
                    self.at(self.now + each * turn as Nanos, Ev::Machine { worker, fault: number, step: 0 });
                }
            }
            What::Replace => {
                for machine in met {
                    self.replace(machine);
                }
            }
            What::Partition { direction } => {
                self.cuts.retain(|cut| cut.fault != number);
                if begins {
                    let mut schedulers = vec![false; self.schedulers.len()];
                    // Every other one is on the far side.
                    schedulers.iter_mut().step_by(2).for_each(|far| *far = true);
                    let mut machines = vec![false; self.machines.len()];
                    met.iter().for_each(|m| machines[*m as usize] = true);
                    self.cuts.push(Cut { fault: number, direction: *direction, schedulers, machines });
                }
            }
            What::KillScheduler => {
                for scheduler in met {
                    if begins {
                        self.kill(scheduler);
                    } else {
                        self.at(self.now, Ev::Boot { scheduler });
                    }
                }
            }
            What::RestartScheduler => {
                for scheduler in met.into_iter().filter(|_| begins) {
                    self.schedulers[scheduler as usize].ending = true;
                    let boot = self.schedulers[scheduler as usize].boot;
                    self.at(self.now + DOOR, Ev::Unfront { scheduler, boot });
                    self.at(self.now + KILLED, Ev::Kill { scheduler });
                    self.at(self.now + KILLED + lasts, Ev::Boot { scheduler });
                    self.give(scheduler, Input::Shutdown { deadline: self.now + ANSWERED });
                }
            }
            What::DiscoveryDown => {
                self.discovery.down = begins;
                for scheduler in 0..self.schedulers.len() as u32 {
                    let s = &self.schedulers[scheduler as usize];
                    if begins && s.watching {
                        let boot = s.boot;
                        let way = self.way();
                        self.at(self.now + way, Ev::Failed { scheduler, boot });
                    }
                }
            }
            What::DiscoveryStale => {
                if begins {
                    self.discovery.stale = true;
                } else if self.discovery.thaw() {
                    self.tell_watchers();
                }
            }
        }
    }

    /// The next step of a fault at one machine.
    pub(super) fn machine(&mut self, machine: u32, number: u32, step: u32) {
        let fault = &self.scenario.faults[number as usize];
        let over = self.now >= seconds(fault.at_s.0 + fault.for_s.0);
        match &fault.what {
            What::StandStill { pause_ms, every_s } => {
                if step == 1 {
                    self.with(machine, |worker, now, effects| worker.finish(now, effects));
                    if !over {
                        let gap = random::between(&mut self.machines_random, every_s.both());
                        self.at(
                            self.now + seconds(gap),
                            Ev::Machine { worker: machine, fault: number, step: 0 },
                        );
                    }
                } else if !over {
                    let pause = millis(random::between(&mut self.machines_random, pause_ms.both()));
                    self.with(machine, |worker, now, _| worker.stalled = now + pause);
                    self.at(self.now + pause, Ev::Machine { worker: machine, fault: number, step: 1 });
                }
            }
            What::Neighbour { share, on_s } => {
                let on = step == 0 && !over;
                let taken = if on { random::between(&mut self.machines_random, share.both()) } else { 0.0 };
                self.with(machine, |worker, _, _| worker.neighbour = taken);
                if !over {
                    let spell = random::between(&mut self.machines_random, on_s.both());
                    let next = 1 - step.min(1);
                    self.at(
                        self.now + seconds(spell),
                        Ev::Machine { worker: machine, fault: number, step: next },
                    );
                }
            }
            What::RollingRestart { drain_s, down_s } => match step {
                0 if self.workers[machine as usize].up == Up::Serving => {
                    self.drain(machine);
                    self.list_change(machine, Standing::Draining);
                    let at = self.now + seconds(drain_s.0);
                    self.at(at, Ev::Machine { worker: machine, fault: number, step: 1 });
                }
                1 => {
                    self.stop(machine, Up::Stopped);
                    self.list_change(machine, Standing::Gone);
                    let at = self.now + seconds(down_s.0);
                    self.at(at, Ev::Machine { worker: machine, fault: number, step: 2 });
                }
                2 => {
                    self.start(machine);
                    self.list_change(machine, Standing::Ready);
                }
                _ => {}
            },
            _ => {}
        }
    }

    /// Discovery is to hear of a machine, after its lag.
    fn list_change(&mut self, machine: u32, standing: Standing) {
        let address = self.machines[machine as usize].address;
        let started = self.workers[machine as usize].started;
        self.discovery.changed(Listing { machine, address, standing, started });
        self.at(self.now + seconds(self.scenario.discovery.lag_s.0), Ev::Publish);
    }

    /// A machine leaves for good, and another takes over its address, in another rack.
    fn replace(&mut self, old: u32) {
        self.stop(old, Up::Vanished);
        self.list_change(old, Standing::Gone);
        let machine = self.workers.len() as u32;
        let address = self.machines[old as usize].address;
        let racks = self.machines.len() as u32;
        let rack = self.machines[((old + racks / 2) % racks) as usize].rack;
        let make = self.workers[old as usize].make.clone();
        if let Some(auditor) = &mut self.auditor {
            auditor.worker(rack, make.cores.min(make.slots) * make.speed);
        }
        self.workers.push(Worker::new(make, Some(self.now)));
        self.machines.push(Machine::new(address, rack));
        self.addresses[address as usize] = Some(machine);
        self.note(Record::Up { worker: machine });
        self.list_change(machine, Standing::Ready);
        if self.scenario.workers.refresh_ms.1 .0 > 0.0 {
            self.refresh(machine);
        }
    }
}

/// So many of some, in a random order.
fn drawn(mut among: Vec<u32>, many: usize, random: &mut Random) -> Vec<u32> {
    among.shuffle(random);
    among.truncate(many);
    among
}
