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
use crate::plain_member::find_plain_member;
use crate::scheduler_loop::AttemptResult;

/// A result of at least this size is not copied out of its line. It makes up a good part of the line's buffer.
pub const MIN_SHARED_RESULT_BYTES: usize = 32 << 10;

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

/// Returns the members of a line, and the string in its member `result`. A large result is not decoded if it needs no
/// decoding: it is a part of the line, which it keeps.
fn split_result(line: &Bytes) -> Result<(HashMap<String, JsonValue>, Option<Bytes>), MessageError> {
    let plain = find_plain_member(line, "result").filter(|range| range.len() >= MIN_SHARED_RESULT_BYTES);
    let Some(range) = plain else {
        let mut members = decode_members(line)?;
        let result = members.remove("result").and_then(|result| match result {
            JsonValue::String(text) => Some(Bytes::from(text.into_bytes().into_boxed_slice())),
            _ => None,
        });
        return Ok((members, result));
    };
    std::str::from_utf8(&line[range.clone()]).map_err(|_| JsonError::NotUtf8)?;
    let members = decode_members(&[&line[..range.start], &line[range.end..]].concat())?;
    Ok((members, Some(line.slice(range))))
}

fn decode_members(object: &[u8]) -> Result<HashMap<String, JsonValue>, MessageError> {
    match json::decode(object)? {
        JsonValue::Object(members) => Ok(members),
        _ => Err(MessageError::NotAnObject),
    }
}

impl WorkerMessage {
    /// Parses a line of the response to the request with the given id.
    ///
    /// # Errors
    ///
    /// Returns an error if the line is not a valid message about this request.
    pub fn parse(line: &Bytes, request_id: &[u8]) -> Result<WorkerMessage, MessageError> {
        let (object, result) = split_result(line)?;
        let string_field = |name: &str| object.get(name).and_then(|v| v.get::<String>());
        if string_field("id").is_none_or(|id| id.as_bytes() != request_id) {
            return Err(MessageError::OtherRequest);
        }
        let mut attempt_result = match string_field("state").map(String::as_str) {
            Some("started" | "running") => return Ok(WorkerMessage::Progress),
            Some("done") => {
                let result = Some(result.ok_or(MessageError::MissingResult)?);
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
