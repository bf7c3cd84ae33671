//! The postcard encoding of every kind of message between processes. `data/message_bytes.txt` holds the bytes
//! as recorded at commit 04e006e, one `name hex` line per message. The log stores the encoding of `Command`
//! too. The order, number and types of fields and variants must not change, or two versions of the program
//! would misread each other's messages; names are not part of the encoding.
//!
//! Messages cannot be compared with `==`. Instead, a recorded message must be encoded to the same bytes after
//! it was decoded, and have the same `Debug` output as the message that this test builds.

use std::collections::{BTreeMap, BTreeSet};
use std::fmt::Debug;

use nickelflow_control_plane::{
    Command, MemberStatus, PeerError, PeerRequest, PeerResponse, Proposal, RolloutStatus, SchedulerStatus,
};
use nickelflow_rollout::{
    CommandError, LeaseGrant, LeaseRequest, RulesDocument, RulesStep, Version, WorkerState,
};
use openraft::error::{Fatal, InstallSnapshotError, RaftError, SnapshotMismatch};
use openraft::raft::{
    AppendEntriesRequest, AppendEntriesResponse, InstallSnapshotRequest, InstallSnapshotResponse,
    VoteRequest, VoteResponse,
};
use openraft::{
    CommittedLeaderId, EmptyNode, Entry, EntryPayload, LogId, Membership, SnapshotMeta, SnapshotSegmentId,
    StoredMembership, Vote,
};
use serde::de::DeserializeOwned;
use serde::Serialize;

const RECORDED_MESSAGES: &str = include_str!("data/message_bytes.txt");

/// Encodes each message and compares it with the recorded bytes, which must decode to the same message.
#[derive(Default)]
struct Checker {
    names: Vec<String>,
    mismatches: Vec<String>,
}

impl Checker {
    fn check<T: Serialize + DeserializeOwned + Debug>(&mut self, name: &str, value: &T) {
        self.names.push(name.to_owned());
        let encoded = hex(&postcard::to_stdvec(value).expect("encoded"));
        let Some(recorded) = recorded_bytes(name) else {
            return self.mismatches.push(format!("not recorded:\n{name} {encoded}"));
        };
        if encoded != recorded {
            self.mismatches.push(format!("{name} is encoded as {encoded}, but was recorded as {recorded}"));
        }
        match postcard::from_bytes::<T>(&bytes(recorded)) {
            Ok(decoded) => {
                let re_encoded = hex(&postcard::to_stdvec(&decoded).expect("encoded"));
                if re_encoded != recorded {
                    self.mismatches.push(format!(
                        "{name} is encoded as {re_encoded} after it was decoded from {recorded}"
                    ));
                }
                if format!("{decoded:?}") != format!("{value:?}") {
                    self.mismatches.push(format!("{name} is decoded as {decoded:?}, not as {value:?}"));
                }
            }
            Err(e) => self.mismatches.push(format!("{name} cannot be decoded: {e}")),
        }
    }

    fn check_all<T: Serialize + DeserializeOwned + Debug>(&mut self, name: &str, values: &[T]) {
        for (n, value) in values.iter().enumerate() {
            self.check(&format!("{name}-{n}"), value);
        }
    }

    fn finish(self) {
        assert!(self.mismatches.is_empty(), "{}", self.mismatches.join("\n"));
        let recorded: Vec<&str> =
            RECORDED_MESSAGES.lines().filter_map(|line| line.split(' ').next()).collect();
        assert_eq!(self.names, recorded, "every recorded message must be checked, in the order of the file");
    }
}

fn recorded_bytes(name: &str) -> Option<&'static str> {
    RECORDED_MESSAGES
        .lines()
        .find_map(|line| line.split_once(' ').filter(|(label, _)| *label == name))
        .map(|(_, hex)| hex)
}

fn hex(bytes: &[u8]) -> String {
    bytes.iter().map(|byte| format!("{byte:02x}")).collect()
}

fn bytes(hex: &str) -> Vec<u8> {
    let byte = |at: usize| u8::from_str_radix(&hex[at..at + 2], 16).expect("hexadecimal");
    (0..hex.len()).step_by(2).map(byte).collect()
}

// The functions below build all values. Fields of the same type have different values, so that swapped fields
// are detected.

fn version(number: u64) -> Version {
    Version { number, term: 7 }
}

fn document() -> RulesDocument {
    RulesDocument {
        schedulers: 4,
        quotas: BTreeMap::from([("milk".to_owned(), 100.0)]),
        workers: BTreeMap::from([("w1".to_owned(), WorkerState::Pinned("milk".to_owned()))]),
        list_version: 9,
        ..RulesDocument::default()
    }
}

fn commands() -> Vec<Command> {
    vec![
        Command::ReadBarrier,
        Command::Bootstrap(document()),
        Command::Propose { base: 300, document: document() },
        Command::RollBack { base: 301, to: 299 },
        Command::Join("s1".to_owned()),
        Command::Leave("s2".to_owned()),
        Command::Advance {
            from: version(302),
            acknowledged: BTreeMap::from([("s1".to_owned(), version(303))]),
        },
    ]
}

fn log_id(index: u64) -> LogId<u64> {
    LogId::new(CommittedLeaderId::new(5, 2), index)
}

fn membership() -> Membership<u64, EmptyNode> {
    Membership::new(vec![BTreeSet::from([1, 2, 3])], None)
}

fn snapshot_meta() -> SnapshotMeta<u64, EmptyNode> {
    SnapshotMeta {
        last_log_id: Some(log_id(400)),
        last_membership: StoredMembership::new(Some(log_id(401)), membership()),
        snapshot_id: "5-2-400".to_owned(),
    }
}

/// Returns an `AppendEntries` request with an entry of each kind and an entry for each command.
fn append_entries() -> PeerRequest {
    let payloads = [EntryPayload::Blank, EntryPayload::Membership(membership())];
    let payloads = payloads.into_iter().chain(commands().into_iter().map(EntryPayload::Normal));
    let entry = |(index, payload)| Entry { log_id: log_id(index), payload };
    PeerRequest::AppendEntries(AppendEntriesRequest {
        vote: Vote::new_committed(6, 3),
        prev_log_id: Some(log_id(409)),
        entries: (410..).zip(payloads).map(entry).collect(),
        leader_commit: Some(log_id(408)),
    })
}

fn heartbeat() -> PeerRequest {
    let vote = Vote::new_committed(6, 3);
    PeerRequest::AppendEntries(AppendEntriesRequest {
        vote,
        prev_log_id: None,
        entries: Vec::new(),
        leader_commit: None,
    })
}

fn snapshot_chunk() -> PeerRequest {
    PeerRequest::InstallSnapshot(InstallSnapshotRequest {
        vote: Vote::new_committed(6, 3),
        meta: snapshot_meta(),
        offset: 1_048_576,
        data: vec![1, 2, 3],
        done: true,
    })
}

fn requests() -> Vec<PeerRequest> {
    let request = LeaseRequest { incarnation: 1_000_001, sequence: 302, acknowledged: version(300) };
    let mut requests = vec![
        append_entries(),
        heartbeat(),
        PeerRequest::Vote(VoteRequest::new(Vote::new(6, 3), Some(log_id(400)))),
        snapshot_chunk(),
        PeerRequest::RequestLease { holder: "s1".to_owned(), lease_duration: 1_000_000_000, request },
        PeerRequest::Bootstrap(document()),
        PeerRequest::ChangeVoters(BTreeSet::from([1, 2, 4])),
        PeerRequest::History,
        PeerRequest::Status,
    ];
    requests.extend(commands().into_iter().map(PeerRequest::Command));
    requests
}

fn peer_errors() -> Vec<PeerError> {
    vec![
        PeerError::NotLeader(Some(3)),
        PeerError::NotLeader(None),
        PeerError::NotVoter("no folder".to_owned()),
        PeerError::Rejected(CommandError::Conflict(300)),
        PeerError::Rejected(CommandError::UnknownProposal(301)),
        PeerError::Rejected(CommandError::MembershipFull),
        PeerError::NotBootstrapped,
        PeerError::AlreadyBootstrapped,
        PeerError::NameTaken,
        PeerError::DocumentTooLarge,
        PeerError::LeaseMismatch(1_000),
        PeerError::NoQuorum("no answer in time".to_owned()),
    ]
}

fn member_status() -> MemberStatus {
    MemberStatus {
        name: "s1".to_owned(),
        acknowledged_version: Some(version(302)),
        earliest_version: version(301),
        lease_remaining_ms: 812,
    }
}

fn rollout_status() -> RolloutStatus {
    RolloutStatus {
        active_version: version(303),
        newest_proposal: 12,
        pending_steps: 3,
        blocked_by: Some("s1 is too many steps behind".to_owned()),
        members: vec![
            member_status(),
            MemberStatus { name: "s2".to_owned(), acknowledged_version: None, ..member_status() },
        ],
    }
}

fn status() -> SchedulerStatus {
    SchedulerStatus {
        name: "s1".to_owned(),
        program_version: "0.1.0".to_owned(),
        version: Some(version(302)),
        lease_remaining_ms: 811,
        degraded_ms: 813,
        max_overlap_ms: 1_020,
        not_voting_reason: Some("the disk is full".to_owned()),
        voter_id: Some(2),
        leader_id: Some(3),
        rollout: Some(rollout_status()),
    }
}

fn status_of_non_voter() -> SchedulerStatus {
    SchedulerStatus {
        version: None,
        not_voting_reason: None,
        voter_id: None,
        leader_id: None,
        rollout: None,
        ..status()
    }
}

fn proposals() -> Vec<Proposal> {
    let proposal = |number, document| Proposal { number, document };
    vec![proposal(11, document()), proposal(12, RulesDocument::default())]
}

fn responses() -> Vec<PeerResponse> {
    let step = RulesStep::from_document(&document());
    let grant = LeaseGrant { incarnation: 1_000_001, sequence: 302, version: version(300), step: Some(step) };
    let (expect, got) = (SnapshotSegmentId::from(("a", 1)), SnapshotSegmentId::from(("b", 2)));
    let mismatch = InstallSnapshotError::SnapshotMismatch(SnapshotMismatch { expect, got });
    let mut responses = vec![
        PeerResponse::AppendEntries(Ok(AppendEntriesResponse::Success)),
        PeerResponse::AppendEntries(Ok(AppendEntriesResponse::PartialSuccess(Some(log_id(400))))),
        PeerResponse::AppendEntries(Ok(AppendEntriesResponse::Conflict)),
        PeerResponse::AppendEntries(Ok(AppendEntriesResponse::HigherVote(Vote::new(6, 3)))),
        PeerResponse::AppendEntries(Err(RaftError::Fatal(Fatal::Stopped))),
        PeerResponse::Vote(Ok(VoteResponse::new(Vote::new(6, 3), Some(log_id(400)), true))),
        PeerResponse::Vote(Err(RaftError::Fatal(Fatal::Panicked))),
        PeerResponse::InstallSnapshot(Ok(InstallSnapshotResponse { vote: Vote::new(6, 3) })),
        PeerResponse::InstallSnapshot(Err(RaftError::APIError(mismatch))),
        PeerResponse::LeaseGranted(Box::new(grant)),
        PeerResponse::Applied(12),
        PeerResponse::History(proposals()),
        PeerResponse::Status(Box::new(status())),
        PeerResponse::Status(Box::new(status_of_non_voter())),
    ];
    responses.extend(peer_errors().into_iter().map(PeerResponse::Error));
    responses
}

#[test]
fn every_message_is_encoded_to_its_recorded_bytes() {
    let mut checker = Checker::default();
    checker.check_all("command", &commands());
    checker.check_all("request", &requests());
    checker.check_all("peer-error", &peer_errors());
    checker.check("member-status", &member_status());
    checker.check("rollout-status", &rollout_status());
    checker.check("status", &status());
    checker.check_all("response", &responses());
    checker.finish();
}
