//! Decoding of endpoint lists in the JSON format of discovery, which watches and the configuration file
//! share.

use std::net::{Ipv4Addr, SocketAddr};

use nickelflow_engine::WorkerStatus;

use crate::json::{Field, JsonError};
use crate::scheduler_loop::WorkerEndpoint;

/// The names of zones and kinds in entries, which the settings number.
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
    pub version: u64,
    /// The list is complete; otherwise it holds changes.
    pub is_snapshot: bool,
    /// The entries that could be decoded.
    pub entries: Vec<WorkerEndpoint>,
    /// The errors of the entries that were skipped.
    pub skipped: Vec<JsonError>,
}

impl EndpointList {
    /// Decodes one list in the format of discovery. Invalid entries are skipped.
    ///
    /// # Errors
    ///
    /// Returns an error if the object is not a list, or if it is the snapshot of another deployment.
    pub fn decode(list: &Field, names: &EntryNames) -> Result<EndpointList, JsonError> {
        let (mut entries, mut skipped) = (vec![], vec![]);
        for field in list.required("endpoints")?.items()? {
            match decode_entry(&field, names) {
                Ok(entry) => entries.push(entry),
                Err(error) => skipped.push(error),
            }
        }
        let is_snapshot = list.optional("snapshot")?.map_or(Ok(false), |snapshot| snapshot.boolean())?;
        let names_nothing_known =
            |e: &WorkerEndpoint| e.zone as usize == names.zones.len() && e.kind as usize == names.kinds.len();
        let can_compare = !names.zones.is_empty() && !names.kinds.is_empty() && !entries.is_empty();
        if is_snapshot && can_compare && entries.iter().all(names_nothing_known) {
            return Err(
                list.error("names no zone and no type of the settings: it is another deployment's list")
            );
        }
        Ok(EndpointList { version: list.required("index")?.integer()?, is_snapshot, entries, skipped })
    }
}

fn decode_entry(field: &Field, names: &EntryNames) -> Result<WorkerEndpoint, JsonError> {
    let statuses =
        [("active", WorkerStatus::Ready), ("leaving", WorkerStatus::Draining), ("left", WorkerStatus::Gone)];
    let status = field.required("status")?.one_of(&statuses)?;
    let index_of = |name: &str, known: &[String]| -> Result<u32, JsonError> {
        let Some(field) = field.optional(name)? else { return Ok(0) };
        let text = field.string()?;
        // A name that is not in the settings gets an index that none of their names has.
        Ok(known.iter().position(|known| known == text).unwrap_or(known.len()) as u32)
    };
    // The address of a draining worker is not needed, because no attempt goes to it. An invalid address must
    // not hide that the worker drains.
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
    let since_ms: u64 = field.optional("since_ms")?.map_or(Ok(0), |since_ms| since_ms.integer())?;
    Ok(WorkerEndpoint {
        name: field.required("name")?.string()?.to_owned(),
        address,
        zone: index_of("zone", &names.zones)?,
        kind: index_of("type", &names.kinds)?,
        cell: field.optional("group")?.map_or(Ok(0), |cell| cell.integer())?,
        status,
        registered_size: field.optional("weight")?.map_or(Ok(1.0), |weight| weight.number())?,
        started_at: (since_ms > 0).then(|| since_ms.saturating_mul(1_000_000)),
    })
}
