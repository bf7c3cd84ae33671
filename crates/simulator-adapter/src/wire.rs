//! Messages of the external simulator's wire protocol, one JSON object per line.
//!
//! Fields and variants keep the simulator's names; the doc comments give the dispatcher's terms for them.
//! Unknown fields are ignored, and a null field counts as absent.

use serde::{Deserialize, Serialize};

/// One line of input: the events of one simulated instant, by dispatcher instance.
#[derive(Deserialize, Debug)]
pub struct Batch {
    /// The simulated time of the events.
    pub t_ns: u64,
    /// The number of the batch, which the reply repeats.
    pub batch: u64,
    pub groups: Vec<InstanceEvents>,
}

/// The events for one dispatcher instance, in order.
#[derive(Deserialize, Debug)]
pub struct InstanceEvents {
    pub dispatcher: u64,
    pub inbox: Vec<Event>,
}

/// An event that the simulator delivers to a dispatcher instance.
#[derive(Deserialize, Debug)]
#[serde(tag = "event_type", rename_all = "snake_case")]
pub enum Event {
    /// Starts or restarts the instance.
    Boot { random_seed: u64, env: Box<Environment> },
    /// Ends the instance.
    Stop,
    /// An update of the endpoint list.
    DirectoryUpdate { kind: ListUpdateKind, nodes_list: Option<Vec<Node>> },
    /// A job has arrived from a client.
    Ingress(Ingress),
    /// The worker has started to stream the answer of an attempt.
    UnderWay { id: String, seq_no: u32 },
    /// The worker reports progress on an attempt.
    Progress { id: String, seq_no: u32 },
    /// An attempt has ended.
    Resolved { id: String, code: ResultCode, seq_no: u32, health_info: Option<HealthInfo> },
    /// The client has disconnected.
    CancelledByClient { id: String },
    /// A requested timer has fired.
    Timer {},
    /// A probe has completed.
    Sampled { runner: String, code: ResultCode, health_info: Option<HealthInfo> },
    /// Messages of peers, and event types that the adapter does not know.
    #[serde(other)]
    Other,
}

/// A job that a client sends to the dispatcher.
#[derive(Deserialize, Debug)]
pub struct Ingress {
    pub id: String,
    /// The class of the job.
    pub service: u32,
    /// The memory that the job needs.
    pub mem: Option<f64>,
    /// The time that remains until the deadline.
    pub left_ns: u64,
    /// The slots that the job needs.
    pub cores_needed: Option<f64>,
    /// The tenant of the job.
    pub owner: Option<u32>,
    /// Whether the client has sent the job before.
    pub retry: Option<bool>,
    /// The key of the job.
    pub item: Option<String>,
}

/// What an update of the endpoint list holds.
#[derive(Deserialize, Debug, Clone, Copy)]
#[serde(rename_all = "UPPERCASE")]
pub enum ListUpdateKind {
    /// Only the changed entries.
    Incremental,
    /// The complete list.
    Full,
    /// The complete list as the dispatcher last received it.
    Saved,
    /// No list: the request for it failed or the subscription ended. The previous list still applies.
    Failed,
}

/// One worker of the endpoint list.
#[derive(Deserialize, Debug)]
pub struct Node {
    /// The name of the worker.
    pub runner: String,
    /// The zone of the worker.
    pub hall: Option<u32>,
    /// The worker kind.
    pub flavor: Option<u32>,
    /// The cell of the worker.
    pub block: Option<u32>,
    pub state: NodeState,
    /// The registered size of the worker.
    pub nominal: Option<f64>,
    /// The start time of the worker; 0 counts as unknown.
    pub born_ns: Option<u64>,
}

/// The status of a worker in the endpoint list.
#[derive(Deserialize, Debug, Clone, Copy)]
#[serde(rename_all = "lowercase")]
pub enum NodeState {
    Ready,
    Draining,
    Gone,
}

/// How an attempt or a probe ended.
#[derive(Deserialize, Debug, Clone, Copy, PartialEq)]
#[serde(rename_all = "snake_case")]
pub enum ResultCode {
    /// The worker answered with a result.
    Pass,
    /// The worker answered with an error.
    Fault,
    /// The worker rejected the job without running it.
    NoRoom,
    /// No answer arrived in time.
    TooSlow,
    /// No connection to the worker could be established.
    NoRoute,
    /// The connection broke before the answer arrived.
    Cut,
    /// The attempt was cancelled.
    Undone,
    /// The attempt was never sent.
    StaleSend,
}

/// A load report of a worker.
#[derive(Deserialize, Debug, Default)]
#[serde(default)]
pub struct HealthInfo {
    /// Free slots.
    pub x0: Option<f64>,
    /// Free memory.
    pub x1: Option<f64>,
    /// Queued jobs.
    pub q: Option<f64>,
    /// Jobs served per second.
    pub rate: Option<f64>,
    /// Errors per second.
    pub fail_rate: Option<f64>,
}

/// The settings of one dispatcher instance.
#[derive(Deserialize, Debug)]
pub struct Environment {
    /// The zone of the dispatcher.
    pub az: Option<u32>,
    /// The number of dispatchers.
    pub balancers: u32,
    pub caps: Capabilities,
    pub classes: Vec<Class>,
    pub contract: Contract,
    pub customers: Option<Vec<TenantSettings>>,
    pub load_report: Option<LoadReporting>,
    /// `on_request` if the dispatcher has to subscribe to the endpoint list.
    pub membership_mode: Option<String>,
    /// `nominal` or `rough` if the endpoint list gives registered sizes.
    pub weights: Option<String>,
    /// The clock resolution.
    pub resolution_ns: Option<u64>,
    pub specifics: Option<Specifics>,
}

/// What the dispatcher may do in this run.
#[derive(Deserialize, Debug, Default)]
#[serde(default)]
pub struct Capabilities {
    pub cancel: Option<bool>,
    pub max_retry_after_ns: Option<u64>,
    /// The maximum number of attempts per job.
    pub most_tries: Option<u32>,
    pub connect_timeout_ns: Option<u64>,
    /// Whether hedged requests are allowed.
    pub parallel_tries: Option<bool>,
    pub probing: Option<bool>,
}

/// The settings of one job class.
#[derive(Deserialize, Debug)]
pub struct Class {
    pub deadline_ns: u64,
    pub effect: ClassEffect,
    pub group: Option<DeduplicationGroup>,
    /// The priority weight.
    pub importance: Option<f64>,
    /// The share of the weight that a late answer still has.
    pub late_value: Option<f64>,
    /// The latency objective.
    pub on_time_ns: u64,
    /// The latency stretch, which takes precedence over [`Specifics::class_stretch`].
    pub aim_stretch: Option<f64>,
    /// The deduplication window.
    pub window_ns: Option<u64>,
}

/// Whether a job of a class can safely run more than once.
#[derive(Deserialize, Debug, Clone, Copy)]
pub enum ClassEffect {
    #[serde(rename = "pure")]
    Idempotent,
    #[serde(rename = "token")]
    IdempotentWithKey,
    #[serde(rename = "side_effect")]
    NonIdempotent,
}

/// The group of workers that share one deduplication window.
#[derive(Deserialize, Debug, Clone, Copy)]
#[serde(rename_all = "lowercase")]
pub enum DeduplicationGroup {
    All,
    Zone,
    Cell,
}

/// The guarantees of the service towards the dispatcher.
#[derive(Deserialize, Debug)]
pub struct Contract {
    /// Share of its capacity that a worker has right after a start.
    pub cold_from: Option<f64>,
    /// Time from a start until a worker has its full capacity.
    pub cold_ns: Option<u64>,
    /// Multiple of its current capacity that overloads a worker during slow start.
    pub fall_multiple: Option<f64>,
    /// How long an overload lasts before the worker fails.
    pub fall_ns: Option<u64>,
    /// How long an endpoint list stays valid without a subscription.
    pub must_ask_in_ns: Option<u64>,
}

/// The settings of one tenant.
#[derive(Deserialize, Debug)]
pub struct TenantSettings {
    pub quota_per_s: Option<f64>,
}

/// Which load reports the workers give.
#[derive(Deserialize, Debug)]
pub struct LoadReporting {
    /// The fields of [`HealthInfo`] that are reported.
    pub fields: Option<Vec<String>>,
    /// `silent` if the workers report nothing.
    pub how: Option<String>,
}

/// Settings that only some services have. The two lists are indexed by class.
#[derive(Deserialize, Debug, Default)]
#[serde(default)]
pub struct Specifics {
    /// The worker kind that a class requires; negative for none.
    pub class_kind: Option<Vec<i64>>,
    /// The latency stretch of a class.
    pub class_stretch: Option<Vec<f64>>,
    /// The interval of progress messages.
    pub progress_ns: Option<u64>,
    /// Whether workers notify the dispatcher of the start of a job.
    pub tells_start: Option<bool>,
}

/// One line of output: the steps that answer one batch.
#[derive(Serialize)]
pub struct Reply<'a> {
    pub batch: u64,
    pub groups: Vec<InstanceSteps<'a>>,
}

/// The steps of one dispatcher instance, in order.
#[derive(Serialize)]
pub struct InstanceSteps<'a> {
    pub dispatcher: u64,
    pub steps: Vec<Step<'a>>,
}

/// An action that a dispatcher instance asks the simulator to take.
#[derive(Serialize)]
#[serde(tag = "event_type", rename_all = "snake_case")]
pub enum Step<'a> {
    /// Starts an attempt at a worker.
    Route { id: &'a str, runner: &'a str, max_wait_ns: u64 },
    /// Cancels an attempt.
    Revoke { id: &'a str, seq_no: u32 },
    /// Rejects the job; the client may retry after `pause_ns`.
    Decline { id: &'a str, pause_ns: u64 },
    /// Answers the job as failed.
    Lose { id: &'a str },
    /// Probes a worker.
    Inspect { runner: &'a str },
    /// Subscribes to changes of the endpoint list.
    Follow { active: bool },
    /// Requests a timer at `moment_ns`.
    Arm { key_back: u64, moment_ns: u64 },
    /// Reports that the dispatcher has panicked, with its message.
    GiveIn { line: String },
}
