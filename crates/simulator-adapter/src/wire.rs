//! The wire's messages, as they stand on it. Unknown fields are skipped and null equals absent.

use serde::{Deserialize, Serialize};

#[derive(Deserialize, Debug)]
pub struct Batch {
    pub t_ns: u64,
    pub batch: u64,
    pub groups: Vec<Inbox>,
}

#[derive(Deserialize, Debug)]
pub struct Inbox {
    pub dispatcher: u64,
    pub inbox: Vec<Incoming>,
}

#[derive(Deserialize, Debug)]
#[serde(tag = "event_type", rename_all = "snake_case")]
pub enum Incoming {
    Boot {
        random_seed: u64,
        env: Box<Env>,
    },
    Stop,
    DirectoryUpdate {
        kind: Kind,
        nodes_list: Option<Vec<Node>>,
    },
    Ingress(Ingress),
    UnderWay {
        id: String,
        seq_no: u32,
    },
    Progress {
        id: String,
        seq_no: u32,
    },
    Resolved {
        id: String,
        code: Code,
        seq_no: u32,
        health_info: Option<Health>,
    },
    CancelledByClient {
        id: String,
    },
    Timer {},
    Sampled {
        runner: String,
        code: Code,
        health_info: Option<Health>,
    },
    /// Messages of peers, and whatever the wire may learn to say.
    #[serde(other)]
    Other,
}

#[derive(Deserialize, Debug)]
pub struct Ingress {
    pub id: String,
    pub service: u32,
    pub mem: Option<f64>,
    pub left_ns: u64,
    pub cores_needed: Option<f64>,
    pub owner: Option<u32>,
    pub retry: Option<bool>,
    pub item: Option<String>,
}

#[derive(Deserialize, Debug, Clone, Copy)]
#[serde(rename_all = "UPPERCASE")]
pub enum Kind {
    Incremental,
    Full,
    Saved,
    Failed,
}

#[derive(Deserialize, Debug)]
pub struct Node {
    pub runner: String,
    pub hall: Option<u32>,
    pub flavor: Option<u32>,
    pub block: Option<u32>,
    pub state: State,
    pub nominal: Option<f64>,
    pub born_ns: Option<u64>,
}

#[derive(Deserialize, Debug, Clone, Copy)]
#[serde(rename_all = "lowercase")]
pub enum State {
    Ready,
    Draining,
    Gone,
}

#[derive(Deserialize, Debug, Clone, Copy, PartialEq)]
#[serde(rename_all = "snake_case")]
pub enum Code {
    Pass,
    Fault,
    NoRoom,
    TooSlow,
    NoRoute,
    Cut,
    Undone,
    StaleSend,
}

#[derive(Deserialize, Debug, Default)]
#[serde(default)]
pub struct Health {
    pub x0: Option<f64>,
    pub x1: Option<f64>,
    pub q: Option<f64>,
    pub rate: Option<f64>,
    pub fail_rate: Option<f64>,
}

#[derive(Deserialize, Debug)]
pub struct Env {
    pub az: Option<u32>,
    pub balancers: u32,
    pub caps: Caps,
    pub classes: Vec<Class>,
    pub contract: Contract,
    pub customers: Option<Vec<Customer>>,
    pub load_report: Option<LoadReport>,
    pub membership_mode: Option<String>,
    pub weights: Option<String>,
    pub resolution_ns: Option<u64>,
    pub specifics: Option<Specifics>,
}

#[derive(Deserialize, Debug, Default)]
#[serde(default)]
pub struct Caps {
    pub cancel: Option<bool>,
    pub max_retry_after_ns: Option<u64>,
    pub most_tries: Option<u32>,
    pub connect_timeout_ns: Option<u64>,
    pub parallel_tries: Option<bool>,
    pub probing: Option<bool>,
}

#[derive(Deserialize, Debug)]
pub struct Class {
    pub deadline_ns: u64,
    pub effect: Effect,
    pub group: Option<Group>,
    pub importance: Option<f64>,
    pub late_value: Option<f64>,
    pub on_time_ns: u64,
    pub aim_stretch: Option<f64>,
    pub window_ns: Option<u64>,
}

#[derive(Deserialize, Debug, Clone, Copy)]
pub enum Effect {
    #[serde(rename = "pure")]
    Safe,
    #[serde(rename = "token")]
    Keyed,
    #[serde(rename = "side_effect")]
    Unsafe,
}

#[derive(Deserialize, Debug, Clone, Copy)]
#[serde(rename_all = "lowercase")]
pub enum Group {
    All,
    Zone,
    Cell,
}

#[derive(Deserialize, Debug)]
pub struct Contract {
    pub cold_from: Option<f64>,
    pub cold_ns: Option<u64>,
    pub fall_multiple: Option<f64>,
    pub fall_ns: Option<u64>,
    pub must_ask_in_ns: Option<u64>,
}

#[derive(Deserialize, Debug)]
pub struct Customer {
    pub quota_per_s: Option<f64>,
}

#[derive(Deserialize, Debug)]
pub struct LoadReport {
    pub fields: Option<Vec<String>>,
    pub how: Option<String>,
}

#[derive(Deserialize, Debug, Default)]
#[serde(default)]
pub struct Specifics {
    pub class_kind: Option<Vec<i64>>,
    pub class_stretch: Option<Vec<f64>>,
    pub progress_ns: Option<u64>,
    pub tells_start: Option<bool>,
}

#[derive(Serialize)]
pub struct Reply<'a> {
    pub batch: u64,
    pub groups: Vec<Outbox<'a>>,
}

#[derive(Serialize)]
pub struct Outbox<'a> {
    pub dispatcher: u64,
    pub steps: Vec<Step<'a>>,
}

#[derive(Serialize)]
#[serde(tag = "event_type", rename_all = "snake_case")]
pub enum Step<'a> {
    Route { id: &'a str, runner: &'a str, max_wait_ns: u64 },
    Revoke { id: &'a str, seq_no: u32 },
    Decline { id: &'a str, pause_ns: u64 },
    Lose { id: &'a str },
    Inspect { runner: &'a str },
    Follow { active: bool },
    Arm { key_back: u64, moment_ns: u64 },
    GiveIn { line: String },
}
