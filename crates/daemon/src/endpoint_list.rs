//! Endpoint lists in discovery's form, as they come on a watch and stand in the configuration file.

use std::net::{Ipv4Addr, SocketAddr};

use nickelflow_engine::WorkerStatus;

use crate::json::{Field, JsonError};
use crate::scheduler_loop::WorkerEndpoint;

/// The names of zones and kinds that stand in entries for the indices in the settings.
#[derive(Clone)]
pub struct EntryNames {
    /// The names of the zones, in the order of their indices.
    pub zones: Vec<String>,
    /// The names of the kinds, in the order of their indices.
    pub kinds: Vec<String>,
}

/// A list of workers, or changes to it.
pub struct EndpointList {
    /// The version of the list.
    pub index: u64,
    /// The list is complete; otherwise it holds changes.
    pub snapshot: bool,
    /// The entries that could be read.
    pub entries: Vec<WorkerEndpoint>,
    /// What was wrong with the entries that were skipped.
    pub skipped: Vec<JsonError>,
}

impl EndpointList {
    /// Reads one object of discovery's form. Entries that are wrong are skipped.
    ///
    /// # Errors
    ///
    /// Returns an error if the object is no list, or is the snapshot of another deployment.
    pub fn decode(list: &Field, names: &EntryNames) -> Result<EndpointList, JsonError> {
        let (mut entries, mut skipped) = (vec![], vec![]);
        for field in list.required("endpoints")?.items()? {
            match entry(&field, names) {
                Ok(entry) => entries.push(entry),
                Err(why) => skipped.push(why),
            }
        }
        let snapshot = list.optional("snapshot")?.map_or(Ok(false), |s| s.boolean())?;
        let unlike =
            |e: &WorkerEndpoint| e.zone as usize == names.zones.len() && e.kind as usize == names.kinds.len();
        let named = !names.zones.is_empty() && !names.kinds.is_empty() && !entries.is_empty();
        if snapshot && named && entries.iter().all(unlike) {
            return Err(list.error("names no zone and no type of the settings: it is another deployment's"));
        }
        Ok(EndpointList { index: list.required("index")?.integer()?, snapshot, entries, skipped })
    }
}

fn entry(field: &Field, names: &EntryNames) -> Result<WorkerEndpoint, JsonError> {
    let statuses =
        [("active", WorkerStatus::Ready), ("leaving", WorkerStatus::Draining), ("left", WorkerStatus::Gone)];
    let status = field.required("status")?.one_of(&statuses)?;
    let number = |name: &str, known: &[String]| -> Result<u32, JsonError> {
        let Some(field) = field.optional(name)? else { return Ok(0) };
        let text = field.string()?;
        // One that the settings do not name is unlike all that they do.
        Ok(known.iter().position(|known| known == text).unwrap_or(known.len()) as u32)
    };
    // No attempt goes to a worker that drains, and its draining must not be missed for a wrong address.
    let unspecified = SocketAddr::from((Ipv4Addr::UNSPECIFIED, 0));
    let address = match (field.optional("address")?, status) {
        (Some(address), status) => match (address.string()?.parse(), status) {
            (Ok(address), _) => address,
            (Err(_), WorkerStatus::Ready) => return Err(address.error("must be an address with a port")),
            (Err(_), _) => unspecified,
        },
        (None, WorkerStatus::Ready) => return Err(field.error("has no address")),
        (None, _) => unspecified,
    };
    let since: u64 = field.optional("since_ms")?.map_or(Ok(0), |since| since.integer())?;
    Ok(WorkerEndpoint {
        name: field.required("name")?.string()?.to_owned(),
        address,
        zone: number("zone", &names.zones)?,
        kind: number("type", &names.kinds)?,
        cell: field.optional("group")?.map_or(Ok(0), |cell| cell.integer())?,
        status,
        registered_size: field.optional("weight")?.map_or(Ok(1.0), |weight| weight.number())?,
        started_at: (since > 0).then(|| since.saturating_mul(1_000_000)),
    })
}
