//! Dispatch decisions: which worker a request is sent to, and when it is retried, hedged or rejected.
//!
//! A dispatcher sits beside a submitter and pushes jobs to workers.
//!
//! The library does no I/O, keeps no clock and shares nothing: the caller hands events with their time to
//! [`Dispatcher::handle`] and carries out the actions that come back. The same events and seed always give
//! the same actions.
//!
//! ```
//! use nickelflow_dispatcher::{
//!     Action, Class, Dispatcher, Event, Idempotency, ListKind, LoadReport, Outcome, Request,
//!     RequestId, ServiceLimits, Settings, WorkerEntry, WorkerId, WorkerStatus,
//! };
//!
//! const MS: u64 = 1_000_000;
//! let settings = Settings {
//!     dispatchers: 2,
//!     zone: 0,
//!     classes: vec![Class {
//!         idempotency: Idempotency::Idempotent,
//!         deduplication_window: 0,
//!         latency_objective: 100 * MS,
//!         latency_stretch: 2.0,
//!         deadline: 5_000 * MS,
//!         priority_weight: 1.0,
//!         late_weight_share: 0.0,
//!         required_kind: None,
//!     }],
//!     tenants: vec![],
//!     limits: ServiceLimits {
//!         slow_start_initial_share: 0.3,
//!         slow_start_duration: 8_000 * MS,
//!         overload_multiple: 3.0,
//!         overload_duration: 1_000 * MS,
//!         unsubscribed_list_validity: 0,
//!     },
//!     requires_subscription: false,
//!     can_probe: true,
//!     reports_registered_size: true,
//!     reports_free_slots: true,
//!     notifies_job_start: false,
//!     progress_interval: 0,
//!     can_cancel: true,
//!     allows_hedging: false,
//!     max_attempts: 3,
//!     max_retry_after: 1_000 * MS,
//!     connect_timeout: 200 * MS,
//!     clock_resolution: MS,
//! };
//! let mut dispatcher = Dispatcher::new(settings, 7)?;
//! let mut actions = Vec::new();
//! let worker = WorkerId(0);
//! let entry = WorkerEntry {
//!     worker,
//!     address_hash: 1,
//!     zone: 0,
//!     kind: 0,
//!     cell: 0,
//!     status: WorkerStatus::Ready,
//!     registered_size: 1.0,
//!     started_at: None,
//! };
//! dispatcher.handle(0, Event::WorkerList { kind: ListKind::Complete, entries: vec![entry] }, &mut actions);
//!
//! // A new worker is closed; it is probed after a short random delay, and opens with what it reports.
//! let Some(Action::Wake { at }) = actions.pop() else { panic!("no wake") };
//! dispatcher.handle(at, Event::Wake, &mut actions);
//! assert!(actions.contains(&Action::Probe { worker }));
//! let report = Some(LoadReport { free_slots: Some(4.0), ..LoadReport::default() });
//! dispatcher.handle(at + MS, Event::ProbeCompleted { worker, outcome: Outcome::Ok, report }, &mut actions);
//!
//! actions.clear();
//! let request = Request {
//!     id: RequestId(0),
//!     class: 0,
//!     tenant: None,
//!     slots: 1.0,
//!     memory: 0.0,
//!     key: None,
//!     time_left: 5_000 * MS,
//!     is_retry: false,
//! };
//! dispatcher.handle(at + 2 * MS, Event::Request(request), &mut actions);
//! assert!(matches!(actions[0], Action::Send { worker: WorkerId(0), .. }));
//! # Ok::<(), nickelflow_dispatcher::SettingsError>(())
//! ```

mod action;
mod active_rules;
mod dispatcher;
mod event;
pub mod hash_ring;
mod health_signals;
mod held_requests;
pub mod hold_queue;
mod ids;
pub mod index_set;
mod job;
pub mod key_frequency;
mod paper;
mod probe_budget;
mod rules;
pub mod service_rate;
mod settings;
pub mod slow_start;
pub mod slow_start_admission;
mod time;
pub mod timers;
pub mod traffic;
mod worker;
mod worker_entry;
mod worker_load;
mod worker_table;

pub use action::Action;
pub use dispatcher::Dispatcher;
pub use event::{Event, ListKind, LoadReport, Outcome, Request};
pub use ids::{RequestId, WorkerId};
pub use rules::{DegradedRules, RetryAfterBounds, Rules, WorkerRestriction};
pub use settings::{Class, DeduplicationScope, Idempotency, ServiceLimits, Settings, SettingsError, Tenant};
pub use time::Nanos;
pub use worker_entry::{WorkerEntry, WorkerStatus};
