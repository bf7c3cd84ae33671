//! What a worker answers: outcomes, lines and load reports.

use std::collections::HashMap;

use bytes::Bytes;
use hyper::body::Incoming;
use hyper::Response;
use nickelflow_engine::{LoadReport, Outcome};
use thiserror::Error;
use tinyjson::JsonValue;
use tracing::warn;

use crate::json::{self, JsonError};
use crate::scheduler_loop::AttemptResult;

/// The outcome, where the head of the answer tells it; a stream of lines tells it later.
pub fn head_outcome(answer: &Response<Incoming>) -> Option<Outcome> {
    let unstarted = answer.headers().get("not-started").is_some_and(|v| v.as_bytes() == b"1");
    match answer.status().as_u16() {
        200 => None,
        503 | 504 if unstarted => Some(Outcome::Rejected),
        400 => Some(Outcome::InvalidJob),
        500 | 503 | 504 => Some(Outcome::Error),
        status => {
            warn!(status, "unexpected status from an instance");
            Some(Outcome::Error)
        }
    }
}

/// The load report that the head of the answer carries.
pub fn head_report(answer: &Response<Incoming>) -> Option<LoadReport> {
    report_of(answer.headers().get("server-load")?.as_bytes())
}

/// A load report, as an object or as `name=value,name=value`.
pub fn report_of(bytes: &[u8]) -> Option<LoadReport> {
    let mut report = LoadReport::default();
    if bytes.first() == Some(&b'{') {
        fill(&mut report, &json::decode(bytes).ok()?);
        return Some(report);
    }
    let mut any = false;
    for (name, value) in std::str::from_utf8(bytes).ok()?.split(',').filter_map(|f| f.split_once('=')) {
        any = true;
        set(&mut report, name.trim(), value.trim().parse().ok());
    }
    any.then_some(report)
}

fn fill(report: &mut LoadReport, object: &JsonValue) {
    for (name, value) in object.get::<HashMap<String, JsonValue>>().into_iter().flatten() {
        set(report, name, value.get::<f64>().copied());
    }
}

/// The settings name the fields in the simulator's words; the sockets carry the site's.
fn set(report: &mut LoadReport, name: &str, value: Option<f64>) {
    match name {
        "x0" => report.free_slots = value,
        "x1" => report.free_memory = value,
        "q" | "queue" => report.queued = value,
        "rate" | "qps" => report.served_per_s = value,
        "fail_rate" | "eps" => report.errors_per_s = value,
        _ => {}
    }
}

/// Why a line of a worker's response could not be understood.
#[derive(Debug, Error)]
pub enum MessageError {
    /// The line is not JSON.
    #[error(transparent)]
    Json(#[from] JsonError),
    /// The line is JSON, but no object.
    #[error("not an object")]
    NotAnObject,
    /// The line bears the id of another request.
    #[error("it is not of this request")]
    OtherRequest,
    /// The line says that the job is done and gives no result.
    #[error("done without a result")]
    NoResult,
    /// The line names no state that is known.
    #[error("no known state")]
    UnknownState,
}

/// What one line of a response says.
pub enum WorkerMessage {
    /// The worker is still at it.
    Progress,
    /// The attempt has ended.
    Ended(AttemptResult),
}

impl WorkerMessage {
    /// Reads a line of an answer to the request of this id.
    pub fn read(line: &[u8], request_id: &[u8]) -> Result<WorkerMessage, MessageError> {
        let value = json::decode(line)?;
        let object: &HashMap<String, JsonValue> = value.get().ok_or(MessageError::NotAnObject)?;
        let text = |name: &str| object.get(name).and_then(|v| v.get::<String>());
        if text("id").is_none_or(|id| id.as_bytes() != request_id) {
            return Err(MessageError::OtherRequest);
        }
        let mut end = match text("state").map(String::as_str) {
            Some("started" | "running") => return Ok(WorkerMessage::Progress),
            Some("done") => {
                let result = text("result").ok_or(MessageError::NoResult)?;
                let result = Some(Bytes::copy_from_slice(result.as_bytes()));
                AttemptResult { outcome: Outcome::Ok, result, report: None }
            }
            Some("failed") => Outcome::Error.into(),
            Some("returned") => Outcome::Rejected.into(),
            Some("lost") => Outcome::Reset.into(),
            _ => return Err(MessageError::UnknownState),
        };
        if let Some(load) = object.get("load") {
            fill(end.report.insert(LoadReport::default()), load);
        }
        Ok(WorkerMessage::Ended(end))
    }
}
