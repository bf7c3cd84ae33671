//! Parameters of the dispatch algorithm, named as in the paper that it follows ("Optimal Hyper-Scalable Load
//! Balancing with a Strict Queue Limit").

use crate::time::{Nanos, MILLISECOND};

/// The paper's K: slots that a dispatcher may send a worker beyond its free ones. A value below 1 only
/// compensates for noise in load reports.
pub(crate) const K: f64 = 0.5;

/// K for a job with a key at a worker that the key has affinity to. Fetching the key's data at another worker
/// costs more than a short wait.
pub(crate) const K_WITH_AFFINITY: f64 = 2.5;

/// The paper's tau: time (ns) from the closing of a worker to its probe. It is about the run time of a short
/// job, and load reports are not fresher than that.
pub(crate) const TAU: Nanos = 200 * MILLISECOND;
