//! A list of instances in discovery's form, as it comes on a watch and stands in the config file.

use std::net::{Ipv4Addr, SocketAddr};

use nickelflow_engine::WorkerStatus;

use crate::json::Field;
use crate::scheduler_loop::WorkerEndpoint;

/// The names of zones and types that stand in entries for the module's numbers.
#[derive(Clone)]
pub struct EntryNames {
    pub zones: Vec<String>,
    pub kinds: Vec<String>,
}

pub struct EndpointList {
    pub index: u64,
    pub snapshot: bool,
    pub entries: Vec<WorkerEndpoint>,
    /// What was wrong with the entries that were left out.
    pub skipped: Vec<String>,
}

impl EndpointList {
    /// Reads one object of discovery's form.
    pub fn decode(list: &Field, names: &EntryNames) -> Result<EndpointList, String> {
        let (mut entries, mut skipped) = (vec![], vec![]);
        for field in list.get("endpoints")?.items()? {
            match entry(&field, names) {
                Ok(entry) => entries.push(entry),
                Err(why) => skipped.push(why),
            }
        }
        let snapshot = list.opt("snapshot")?.map_or(Ok(false), |s| s.flag())?;
        let unlike =
            |e: &WorkerEndpoint| e.zone as usize == names.zones.len() && e.kind as usize == names.kinds.len();
        let named = !names.zones.is_empty() && !names.kinds.is_empty() && !entries.is_empty();
        if snapshot && named && entries.iter().all(unlike) {
            return Err(list.error("names no zone and no type of the settings: it is another deployment's"));
        }
        Ok(EndpointList { index: list.get("index")?.whole()?, snapshot, entries, skipped })
    }
}

fn entry(field: &Field, names: &EntryNames) -> Result<WorkerEndpoint, String> {
    let statuses =
        [("active", WorkerStatus::Ready), ("leaving", WorkerStatus::Draining), ("left", WorkerStatus::Gone)];
    let membership = field.get("status")?.word(&statuses)?;
    let number = |name: &str, known: &[String]| -> Result<u32, String> {
        let Some(field) = field.opt(name)? else { return Ok(0) };
        let text = field.text()?;
        // One that the settings do not name is unlike all that they do.
        Ok(known.iter().position(|known| known == text).unwrap_or(known.len()) as u32)
    };
    // Nothing new goes to one that leaves: that it does must not be missed for its address.
    let nowhere = SocketAddr::from((Ipv4Addr::UNSPECIFIED, 0));
    let address = match (field.opt("address")?, membership) {
        (Some(address), membership) => match (address.text()?.parse(), membership) {
            (Ok(address), _) => address,
            (Err(_), WorkerStatus::Ready) => return Err(address.error("must be an address with a port")),
            (Err(_), _) => nowhere,
        },
        (None, WorkerStatus::Ready) => return Err(field.error("has no address")),
        (None, _) => nowhere,
    };
    let since: u64 = field.opt("since_ms")?.map_or(Ok(0), |since| since.whole())?;
    Ok(WorkerEndpoint {
        name: field.get("name")?.text()?.to_owned(),
        address,
        zone: number("zone", &names.zones)?,
        kind: number("type", &names.kinds)?,
        cell: field.opt("group")?.map_or(Ok(0), |cell| cell.whole())?,
        status: membership,
        weight: field.opt("weight")?.map_or(Ok(1.0), |weight| weight.number())?,
        started: (since > 0).then(|| since.saturating_mul(1_000_000)),
    })
}
