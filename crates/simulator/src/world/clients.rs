//! Clients and the front: requests come in, are tried, answered, tried again and given up.

use nickelflow_engine::Job;
use smallvec::SmallVec;

use super::{Ev, Request, State, Try, World};
use crate::policy::Input;
use crate::random;
use crate::record::{Ending, Final, Record};
use crate::scenario::Repeats;
use crate::stats::{Fate, Settled};
use crate::time::{millis, Nanos};
use crate::worker::AttemptId;

impl World<'_> {
    /// The next request is asked for the first time.
    pub(super) fn arrive(&mut self) {
        let Some(first) = self.next.take() else { return };
        self.next = self.traffic.next();
        if let Some(next) = &self.next {
            let at = next.at;
            self.at(at, Ev::Arrive);
        }
        let number = self.requests;
        self.requests += 1;
        let deadline = self.now + millis(self.scenario.classes[first.class as usize].deadline_ms.0);
        self.submit(Request { number, first, deadline, retries: 0 });
    }

    pub(super) fn retry(&mut self, waiting: u32) {
        if let Some(request) = self.waiting.try_remove(waiting as usize) {
            self.submit(request);
        }
    }

    /// A try goes out, through the front.
    fn submit(&mut self, request: Request) {
        let fronted = self.schedulers.iter().filter(|s| s.fronted).count();
        let ticket =
            if request.retries == 0 { request.first.client } else { random::unit(&mut self.clients) };
        let index = (ticket * fronted as f64) as usize;
        let all = self.schedulers.iter().enumerate();
        let Some((scheduler, _)) = all.filter(|(_, s)| s.fronted).nth(index) else {
            return self.unreached(request);
        };
        let entry = self.tries.vacant_entry();
        self.serial = self.serial.wrapping_add(1);
        let job = u64::from(self.serial) << 32 | entry.key() as u64;
        entry.insert(Box::new(Try {
            id: job,
            request,
            scheduler: scheduler as u32,
            deadline: request.deadline,
            over: false,
            held: false,
            attempts: SmallVec::new(),
            ran: None,
        }));
        self.stats.counts.most_open = self.stats.counts.most_open.max(self.tries.len() as u64);
        let way = self.way();
        self.at(self.now + way, Ev::Enter { job });
    }

    /// A try is whole at its scheduler.
    pub(super) fn enter(&mut self, job: u64) {
        let Some(t) = self.get(job) else { return };
        let (scheduler, request, deadline) = (t.scheduler, t.request, t.deadline);
        if self.schedulers[scheduler as usize].policy.is_none() {
            // Nobody listens there any more.
            if let Some(t) = self.get_mut(job) {
                t.over = true;
            }
            self.forget(job);
            return self.unreached(request);
        }
        if self.now >= deadline {
            // Its client gave it up on the way: what comes with a closed connection is no request, and nobody
            // could be asked to have answered it in time.
            if let Some(t) = self.get_mut(job) {
                t.over = true;
            }
            self.forget(job);
            return self.settle(&request, Fate::Failed);
        }
        if let Some(t) = self.get_mut(job) {
            t.held = true;
        }
        self.stats.counts.tries += 1;
        let Request { number, first, retries, .. } = request;
        let (class, tenant) = (first.class, first.tenant);
        self.note(Record::Asked { job, request: number, class, tenant, scheduler, deadline, retry: retries });
        self.at(deadline, Ev::Deadline { job });
        if let Some(part) = first.leaves.filter(|_| retries == 0) {
            let after = (deadline.saturating_sub(self.now)) as f64 * part;
            self.at(self.now + after as Nanos, Ev::Leave { job });
        }
        let facts = Job {
            class,
            tenant: (!self.scenario.tenants.is_empty()).then_some(tenant),
            slots: first.slots,
            memory: first.memory,
            key: first.key,
            is_retry: self.scenario.clients.marks_retry && retries > 0,
            deadline,
        };
        self.give(scheduler, Input::Job { job_id: job, job: facts });
    }

    /// A client leaves before its time; its scheduler hears of that a little later.
    pub(super) fn leave(&mut self, job: u64) {
        let Some(t) = self.get_mut(job).filter(|t| !t.over) else { return };
        t.over = true;
        let request = t.request;
        self.settle(&request, Fate::Left);
        let way = self.way();
        self.at(self.now + way, Ev::Heard { job });
    }

    pub(super) fn heard_gone(&mut self, job: u64) {
        let Some(t) = self.get_mut(job).filter(|t| t.held) else { return };
        t.held = false;
        let scheduler = t.scheduler;
        self.note(Record::Left { job, overdue: false });
        self.give(scheduler, Input::ClientDisconnected { job_id: job });
        self.forget(job);
    }

    /// A client's time is over: attempts that were to be waited for until then time out, and the answer is due
    /// within the slack.
    pub(super) fn deadline(&mut self, job: u64) {
        let Some(t) = self.get(job) else { return };
        let attempts = t.attempts.len() as u32;
        let slack = millis(self.scenario.rules.slack_ms.0);
        self.at(self.now + slack, Ev::Overdue { job });
        for attempt in 0..attempts {
            self.back(AttemptId { job, attempt }, Ending::TimedOut);
        }
    }

    /// Whatever may still be on its way comes too late for the client.
    pub(super) fn overdue(&mut self, job: u64) {
        let Some(t) = self.get_mut(job) else { return };
        let (over, held) = (std::mem::replace(&mut t.over, true), std::mem::replace(&mut t.held, false));
        let (request, scheduler) = (t.request, t.scheduler);
        if held {
            self.note(Record::Left { job, overdue: true });
            self.give(scheduler, Input::ClientDisconnected { job_id: job });
        }
        if !over {
            self.settle(&request, Fate::Failed);
        }
        self.forget(job);
    }

    /// A final answer is written.
    pub(super) fn answer(&mut self, job: u64, answer: Final) {
        self.note(Record::Decided { job, answer });
        self.note(Record::Answered { job, answer });
        let Some(t) = self.get_mut(job) else { return };
        t.held = false;
        if std::mem::replace(&mut t.over, true) {
            return self.forget(job);
        }
        let request = t.request;
        self.forget(job);
        let class = &self.scenario.classes[request.first.class as usize];
        match answer {
            Final::Served => {
                let aim = millis(class.aim_ms.0) as f64 + class.stretch.0 * request.first.work;
                let late = (self.now - request.first.at) as f64 > aim;
                self.settle(&request, if late { Fate::Late } else { Fate::InTime });
            }
            Final::Refused(advice) => {
                if !self.again(request, advice) {
                    self.settle(&request, Fate::Refused);
                }
            }
            Final::Failed => {
                if class.repeats != Repeats::Harmless || !self.again(request, 0) {
                    self.settle(&request, Fate::Failed);
                }
            }
        }
    }

    /// The scheduler could not be reached, or has died with the request: the client may repeat it.
    pub(super) fn unreached(&mut self, request: Request) {
        if !self.again(request, 0) {
            self.settle(&request, Fate::Failed);
        }
    }

    /// Whether the client tries again.
    fn again(&mut self, request: Request, advice: Nanos) -> bool {
        let clients = &self.scenario.clients;
        if f64::from(request.retries) >= clients.retries.0 {
            return false;
        }
        let doubled = f64::from(1u32 << request.retries.min(16));
        let backoff = random::between(&mut self.clients, clients.backoff_ms.both()) * doubled;
        let wait = if advice > 0 && request.first.honours {
            advice.min(millis(clients.max_retry_after_ms.0))
        } else {
            millis(backoff)
        };
        let at = self.now + wait.max(1);
        if at >= request.deadline {
            return false;
        }
        let waiting = self.waiting.insert(Request { retries: request.retries + 1, ..request }) as u32;
        self.at(at, Ev::Retry { waiting });
        true
    }

    fn settle(&mut self, request: &Request, fate: Fate) {
        let first = &request.first;
        let worth = if first.over { self.scenario.rules.over_share.0 } else { 1.0 };
        self.stats.settle(Settled {
            asked: first.at,
            at: self.now,
            tenant: first.tenant,
            work: first.work * first.slots,
            worth,
            within: !first.over,
            fate,
        });
    }

    /// A scheduler's process ends: what it held is lost, and its connections are reset.
    pub(super) fn kill(&mut self, scheduler: u32) {
        let s = &mut self.schedulers[scheduler as usize];
        if s.policy.take().is_none() {
            return;
        }
        s.boot += 1;
        (s.armed, s.watching, s.version, s.news) = (None, false, None, false);
        let boot = s.boot;
        self.note(Record::Killed { scheduler });
        let notices = crate::time::seconds(self.scenario.clients.front_notices_s.0);
        self.at(self.now + notices, Ev::Unfront { scheduler, boot });
        let lost: Vec<u64> =
            self.tries.iter().filter(|(_, t)| t.scheduler == scheduler).map(|(_, t)| t.id).collect();
        for job in lost {
            let Some(t) = self.get_mut(job) else { continue };
            // One that has not come in yet finds nobody, or the next process.
            let entered = std::mem::replace(&mut t.held, false);
            let open = entered && !std::mem::replace(&mut t.over, true);
            let request = t.request;
            let out = |a: &super::Attempt| a.state == State::Out;
            let attempts: Vec<u32> =
                (0..t.attempts.len() as u32).filter(|n| out(&t.attempts[*n as usize])).collect();
            for attempt in attempts {
                self.hang_up(job, attempt);
            }
            if open {
                self.unreached(request);
            }
            self.forget(job);
        }
        self.drop_kept(scheduler);
    }
}
