//! Decoding of endpoint lists in the JSON format of discovery, which watches and the configuration file
//! share.

use std::collections::HashMap;
use std::net::{Ipv4Addr, SocketAddr};

use nickelflow_engine::WorkerStatus;
use tinyjson::JsonValue;

use crate::json::{self, Field, JsonError};
use crate::json_pieces::{self, Pieces};
use crate::scheduler_loop::WorkerEndpoint;

/// The member with the entries.
const ENDPOINTS: &str = "endpoints";
/// The member with the version of the list.
const VERSION: &str = "index";
/// The member that tells whether the list is complete.
const IS_SNAPSHOT: &str = "snapshot";
/// The longest entry.
const MAX_ENTRY_BYTES: usize = 16 << 10;
/// How many of the entries that are skipped are reported.
const MAX_REPORTED_ERRORS: usize = 16;

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
    /// The errors of the first entries that were skipped.
    pub skipped: Vec<JsonError>,
}

impl EndpointList {
    /// Reads one list in the format of discovery from its text, one entry at a time. Invalid entries are skipped.
    ///
    /// # Errors
    ///
    /// Returns an error if the text is not a list, or if it is the snapshot of another deployment.
    pub fn parse(text: &[u8], names: &EntryNames) -> Result<EndpointList, JsonError> {
        json::check_text(text)?;
        let (head, endpoints) = split_list(text)?;
        let head = Field::root(&head);
        // Without an array, the error is that of the head.
        let Some(endpoints) = endpoints else { return EndpointList::decode(&head, names) };
        let mut entries = EntryReader::new(names);
        for (index, text) in endpoints.enumerate() {
            entries.read_text(index, text)?;
        }
        entries.finish(&head)
    }

    /// Reads one list that is decoded already. Invalid entries are skipped.
    ///
    /// # Errors
    ///
    /// Returns an error if the object is not a list, or if it is the snapshot of another deployment.
    pub fn decode(list: &Field, names: &EntryNames) -> Result<EndpointList, JsonError> {
        let mut entries = EntryReader::new(names);
        for field in list.required(ENDPOINTS)?.items()? {
            entries.read(&field);
        }
        entries.finish(list)
    }
}

/// Splits the text of a list into the object without its entries, and the texts of the entries; `None` if these are not
/// in an array.
fn split_list(text: &[u8]) -> Result<(JsonValue, Option<Pieces<'_>>), JsonError> {
    let Some(members) = json_pieces::members(text) else {
        json_pieces::validate(text)?;
        return Ok((JsonValue::Null, None));
    };
    let (mut head, mut endpoints) = (HashMap::new(), None);
    for member in members {
        let (name, value) = member?;
        if name == ENDPOINTS {
            // Of several members of the same name the last one counts.
            endpoints.replace(value).map_or(Ok(()), json_pieces::validate)?;
        } else {
            json_pieces::validate(value)?;
            if [VERSION, IS_SNAPSHOT].contains(&name.as_str()) {
                head.insert(name, decode_short(value)?);
            }
        }
    }
    let Some(endpoints) = endpoints else { return Ok((JsonValue::Object(head), None)) };
    let items = json_pieces::items(endpoints);
    if items.is_none() {
        json_pieces::validate(endpoints)?;
        head.insert(ENDPOINTS.to_owned(), decode_short(endpoints)?);
    }
    Ok((JsonValue::Object(head), items))
}

/// Decodes a valid value that is short. A longer one is none that a list has, and is decoded as an empty object.
fn decode_short(value: &[u8]) -> Result<JsonValue, JsonError> {
    match value.len() <= MAX_ENTRY_BYTES {
        true => json::decode(value),
        false => Ok(JsonValue::Object(HashMap::new())),
    }
}

/// Collects the entries of a list.
struct EntryReader<'a> {
    names: &'a EntryNames,
    entries: Vec<WorkerEndpoint>,
    skipped: Vec<JsonError>,
}

impl<'a> EntryReader<'a> {
    fn new(names: &'a EntryNames) -> EntryReader<'a> {
        EntryReader { names, entries: vec![], skipped: vec![] }
    }

    fn read(&mut self, field: &Field) {
        match decode_entry(field, self.names) {
            Ok(entry) => self.entries.push(entry),
            Err(error) => self.skip(error),
        }
    }

    fn read_text(&mut self, index: usize, text: &[u8]) -> Result<(), JsonError> {
        let path = format!("{ENDPOINTS}[{index}]");
        if text.len() > MAX_ENTRY_BYTES {
            json_pieces::validate(text)?;
            let problem = format!("longer than {MAX_ENTRY_BYTES} bytes");
            self.skip(JsonError::Field { path, problem });
            return Ok(());
        }
        let value = json::decode(text)?;
        self.read(&Field::at(path, &value));
        Ok(())
    }

    fn skip(&mut self, error: JsonError) {
        if self.skipped.len() < MAX_REPORTED_ERRORS {
            self.skipped.push(error);
        }
    }

    /// Completes the list, whose other members are those of `list`.
    fn finish(self, list: &Field) -> Result<EndpointList, JsonError> {
        let EntryReader { names, entries, skipped } = self;
        let is_snapshot = list.optional(IS_SNAPSHOT)?.map_or(Ok(false), |snapshot| snapshot.boolean())?;
        let names_nothing_known =
            |e: &WorkerEndpoint| e.zone as usize == names.zones.len() && e.kind as usize == names.kinds.len();
        let can_compare = !names.zones.is_empty() && !names.kinds.is_empty() && !entries.is_empty();
        if is_snapshot && can_compare && entries.iter().all(names_nothing_known) {
            return Err(
                list.error("names no zone and no type of the settings: it is another deployment's list")
            );
        }
        Ok(EndpointList { version: list.required(VERSION)?.integer()?, is_snapshot, entries, skipped })
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
