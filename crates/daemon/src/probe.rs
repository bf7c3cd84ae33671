//! Probes of workers over pooled connections.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};

use http_body_util::Full;
use hyper::header::HOST;
use hyper::{Request, StatusCode, Uri};
use nickelflow_engine::{LoadReport, Outcome};
use nickelflow_input_memory::read_body;
use tokio::time::timeout;
use tracing::debug;

use crate::attempt::{host_header, WorkerClient, MAX_RESPONSE_BYTES};
use crate::connection::WriteProgress;
use crate::counters::outcome_name;
use crate::scheduler_loop::Event;
use crate::worker_answer::{load_report_of_head, parse_load_report};
use crate::worker_pool::ConnectionPreference;

/// The timeout of a probe. Workers answer probes without queueing them, so that a worker that takes longer
/// is stuck.
const PROBE_TIMEOUT: Duration = Duration::from_millis(250);
/// A probe that times out this much too late shows that this process stalled, and says nothing about the
/// worker.
const STALL_THRESHOLD: Duration = Duration::from_millis(50);
/// How long a probe retries local failures to open a connection.
const PROBE_LOCAL_RETRY_LIMIT: Duration = Duration::from_millis(100);

impl WorkerClient {
    /// Sends a probe to a worker and reports its result.
    pub async fn probe(self: Arc<Self>, worker: u32, address: SocketAddr) {
        let started_at = Instant::now();
        let probe_result = timeout(PROBE_TIMEOUT, self.request_load_report(address)).await;
        let has_stalled = started_at.elapsed() >= PROBE_TIMEOUT + STALL_THRESHOLD;
        let (outcome, report) = match probe_result {
            Ok(outcome_and_report) => outcome_and_report,
            Err(_) if has_stalled => (Outcome::NotSent, None),
            Err(_) => (Outcome::Timeout, None),
        };
        if matches!(outcome, Outcome::Timeout | Outcome::ConnectFailed) {
            // The worker is stuck or gone. Once it is back, it resets its earlier connections, and an attempt
            // on one of them would end as if the job might have run.
            self.pool.close_idle(address);
        }
        debug!(instance = worker, outcome = %outcome_name(outcome), ?report, "probe ended");
        let _ = self.event_queue.send(Event::ProbeCompleted { worker, outcome, report });
    }

    async fn request_load_report(&self, address: SocketAddr) -> (Outcome, Option<LoadReport>) {
        let mut preference = ConnectionPreference::Any;
        let (mut checked_out, response) = loop {
            let mut checked_out =
                match self.pool.check_out(address, preference, PROBE_LOCAL_RETRY_LIMIT).await {
                    Ok(checked_out) => checked_out,
                    Err(outcome) => return (outcome, None),
                };
            let mut request = Request::new(Full::default());
            *request.uri_mut() = Uri::from_static("/load");
            request.headers_mut().insert(HOST, host_header(address));
            match checked_out.connection.send_request(request).await {
                Ok(response) => break (checked_out, response),
                Err(error) if checked_out.reused && error.progress == WriteProgress::Nothing => {
                    preference = ConnectionPreference::New
                }
                Err(_) => return (Outcome::Reset, None),
            }
        };
        let (status, header_report) = (response.status(), load_report_of_head(&response));
        let Ok(body) = read_body(response.into_body(), MAX_RESPONSE_BYTES).await else {
            return (Outcome::Reset, None);
        };
        if checked_out.connection.wait_until_ready().await {
            self.pool.give_back(checked_out);
        }
        let report = parse_load_report(&body).or(header_report);
        (if status == StatusCode::OK { Outcome::Ok } else { Outcome::Error }, report)
    }
}
