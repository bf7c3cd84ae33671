//! The parameters of the dispatch algorithm, by the names of the paper that it follows ("Optimal
//! Hyper-Scalable Load Balancing with a Strict Queue Limit").

use crate::time::{Nanos, MILLISECOND};

/// The paper's K: slots that a worker may be sent beyond its free ones. Below 1, it only covers the noise of
/// reports.
pub(crate) const K: f64 = 0.5;

/// K for a job with a key at a worker that the key has affinity to: fetching the key's data elsewhere costs
/// more than a short wait.
pub(crate) const K_WITH_AFFINITY: f64 = 2.5;

/// The paper's tau: time (ns) from a worker's closing to its probe. It is about a short job's run; reports
/// are not fresher than that.
pub(crate) const TAU: Nanos = 200 * MILLISECOND;
