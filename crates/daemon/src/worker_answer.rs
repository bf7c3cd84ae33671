//! Parsing of worker responses: outcomes, the lines of a streamed body, and load reports.

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

/// Returns the outcome if the head of the response determines it. After status 200, the lines of the body
/// determine it.
pub fn outcome_of_head(response: &Response<Incoming>) -> Option<Outcome> {
    let not_started = response.headers().get("not-started").is_some_and(|v| v.as_bytes() == b"1");
    match response.status().as_u16() {
        200 => None,
        503 | 504 if not_started => Some(Outcome::Rejected),
        400 => Some(Outcome::InvalidJob),
        500 | 503 | 504 => Some(Outcome::Error),
        status => {
            warn!(status, "unexpected status from a worker");
            Some(Outcome::Error)
        }
    }
}

/// Returns the load report in the `Server-Load` header of a response.
pub fn load_report_of_head(response: &Response<Incoming>) -> Option<LoadReport> {
    parse_load_report(response.headers().get("server-load")?.as_bytes())
}

/// Parses a load report, which is either a JSON object or a list `name=value,name=value`.
pub fn parse_load_report(bytes: &[u8]) -> Option<LoadReport> {
    let mut report = LoadReport::default();
    if bytes.first() == Some(&b'{') {
        set_fields(&mut report, &json::decode(bytes).ok()?);
        return Some(report);
    }
    let mut found_field = false;
    for (name, value) in std::str::from_utf8(bytes).ok()?.split(',').filter_map(|f| f.split_once('=')) {
        found_field = true;
        set_field(&mut report, name.trim(), value.trim().parse().ok());
    }
    found_field.then_some(report)
}

/// Copies the known fields of a JSON object into a load report.
fn set_fields(report: &mut LoadReport, object: &JsonValue) {
    for (name, value) in object.get::<HashMap<String, JsonValue>>().into_iter().flatten() {
        set_field(report, name, value.get::<f64>().copied());
    }
}

/// Sets the field of a load report that is called `name`, and ignores unknown names. The configuration uses
/// the simulator's names of the fields; reports on the network use those of the deployment.
fn set_field(report: &mut LoadReport, name: &str, value: Option<f64>) {
    match name {
        "x0" => report.free_slots = value,
        "x1" => report.free_memory = value,
        "q" | "queue" => report.queued = value,
        "rate" | "qps" => report.served_per_s = value,
        "fail_rate" | "eps" => report.errors_per_s = value,
        _ => {}
    }
}

/// Why a line of a worker's response is invalid.
#[derive(Debug, Error)]
pub enum MessageError {
    /// The line is not JSON.
    #[error(transparent)]
    Json(#[from] JsonError),
    /// The line is valid JSON but not an object.
    #[error("the line is not a JSON object")]
    NotAnObject,
    /// The line carries the id of another request.
    #[error("the line belongs to another request")]
    OtherRequest,
    /// The state is `done`, but the result is missing.
    #[error("state `done` without a result")]
    MissingResult,
    /// The state is missing or unknown.
    #[error("missing or unknown state")]
    UnknownState,
}

/// The content of one line of a response.
pub enum WorkerMessage {
    /// The worker is still running the job.
    Progress,
    /// The attempt has ended.
    Ended(AttemptResult),
}

impl WorkerMessage {
    /// Parses a line of the response to the request with the given id.
    ///
    /// # Errors
    ///
    /// Returns an error if the line is not a valid message about this request.
    pub fn parse(line: &[u8], request_id: &[u8]) -> Result<WorkerMessage, MessageError> {
        let value = json::decode(line)?;
        let object: &HashMap<String, JsonValue> = value.get().ok_or(MessageError::NotAnObject)?;
        let string_field = |name: &str| object.get(name).and_then(|v| v.get::<String>());
        if string_field("id").is_none_or(|id| id.as_bytes() != request_id) {
            return Err(MessageError::OtherRequest);
        }
        let mut attempt_result = match string_field("state").map(String::as_str) {
            Some("started" | "running") => return Ok(WorkerMessage::Progress),
            Some("done") => {
                let result = string_field("result").ok_or(MessageError::MissingResult)?;
                let result = Some(Bytes::copy_from_slice(result.as_bytes()));
                AttemptResult { outcome: Outcome::Ok, result, report: None }
            }
            Some("failed") => Outcome::Error.into(),
            Some("returned") => Outcome::Rejected.into(),
            Some("lost") => Outcome::Reset.into(),
            _ => return Err(MessageError::UnknownState),
        };
        if let Some(load) = object.get("load") {
            set_fields(attempt_result.report.insert(LoadReport::default()), load);
        }
        Ok(WorkerMessage::Ended(attempt_result))
    }
}
