//! Where streams began: which build of a service wrote the first event of a stream.
//!
//! Builds are versions of an upstream's software. Several of them may serve side by side, and what two
//! of them write does not fit together, so a stream may go on only at the build that began it. A caller
//! that takes a stream up comes to any VM, within milliseconds of the first event. Each VM therefore tells
//! the build of the streams that it relays to a few others, which all VMs compute from the request's content
//! ([`crate::owner`]), and a VM that does not know a stream asks these. Neither grows with the fleet. What
//! nobody knows is not guessed. See `docs/design.md`, section 6.12.
//!
//! # Example
//!
//! ```
//! use std::time::Duration;
//!
//! use coord::origin::{OriginRecord, Origins, Step, build_key, stream_key};
//! use coord::owner::Owners;
//! use coord::time::Time;
//!
//! let (now, build) = (Time::ZERO, build_key("summaries", "v2"));
//! let content = 17;
//! let stream = stream_key("attempt-1", content);
//! let others: Owners = [("vm-1", "east"), ("vm-2", "east")]
//!     .into_iter()
//!     .map(|(vm, data_centre)| (vm.into(), data_centre.into()))
//!     .collect();
//! let mut origins = Origins::default();
//! origins.begin_lookup(now, (stream, content));
//! let Step::Ask { targets, .. } = origins.next_step(now, stream, &others, true) else {
//!     panic!("nobody was asked");
//! };
//! assert_eq!(targets.len(), 2);
//!
//! // One of the two answers.
//! let retention = Duration::from_secs(20);
//! origins.record(now, &OriginRecord::new(stream, Some(build), retention));
//! let step = origins.next_step(now, stream, &others, true);
//! assert_eq!(step, Step::Known(build));
//! ```

mod lookup;

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use lookup::Lookup;
pub use lookup::{LOOKUP_LIMIT, Step};
use serde::{Deserialize, Serialize};

use crate::hash::{hash64, hash128_of};
use crate::name::VmName;
use crate::owner::Owners;
use crate::time::Time;

/// Number of other VMs to which the origin of a stream is told. With five, of streams whose VM is lost
/// together with half of the others 3% are forgotten, and with 87% of them half.
pub const COPIES: usize = 5;
/// Maximum number of streams whose origin one VM stores. They take about 5 MB; those that expire first leave
/// first.
const MAX_STREAMS: usize = 32_768;
/// Longest time for which an origin is stored after it was last told.
const MAX_RETENTION: Duration = Duration::from_mins(10);
/// Maximum number of streams in one message, which then takes 9 KB.
pub const MAX_BATCH: usize = 256;

/// Stands for a version of the software of a service.
pub type BuildKey = u64;

/// Stands for a stream.
pub type StreamKey = u128;

/// A fingerprint of what stays the same in all attempts of a caller. It decides which VMs keep the origin.
pub type ContentKey = u128;

/// Returns the key of a version of a service.
#[must_use]
pub fn build_key(service: &str, version: &str) -> BuildKey {
    let length = service.len();
    hash64(format!("{length}|{service}|{version}").as_bytes())
}

/// Returns the key of the stream that the attempt `id` of a caller began. The id of a stream of other content
/// leads to nothing.
#[must_use]
pub fn stream_key(id: &str, content: ContentKey) -> StreamKey {
    hash128_of([&[0], id.as_bytes(), &content.to_be_bytes()[..]])
}

/// Returns the key of the streams that a caller began with this content, for one that names no attempt. If
/// several began at different builds, none is believed.
#[must_use]
pub fn caller_key(caller: &str, content: ContentKey) -> StreamKey {
    hash128_of([&[1], caller.as_bytes(), &content.to_be_bytes()[..]])
}

/// The origin of a stream, as sent from one VM to another.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct OriginRecord {
    /// The stream.
    pub stream: StreamKey,
    /// The build that began it, or `None` if VMs reported different ones.
    pub build: Option<BuildKey>,
    /// Milliseconds for which the record is of use, because the caller may come back.
    pub keep_ms: u32,
}

impl OriginRecord {
    /// Creates a record that is of use for `retention`.
    #[must_use]
    pub fn new(stream: StreamKey, build: Option<BuildKey>, retention: Duration) -> Self {
        let keep_ms = u32::try_from(retention.as_millis()).unwrap_or(u32::MAX);
        Self {
            stream,
            build,
            keep_ms,
        }
    }
}

/// What VMs tell each other of the origins of streams.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum OriginMessage {
    /// Streams that the sender relays.
    Told(Vec<OriginRecord>),
    /// Asks where streams began.
    Asked {
        /// Number of this question within the lookup, which the answer repeats.
        round: u8,
        /// The streams.
        streams: Vec<StreamKey>,
    },
    /// Answers a question.
    Answered {
        /// Number of the question.
        round: u8,
        /// The streams that the sender knows.
        known: Vec<OriginRecord>,
        /// The other ones.
        unknown: Vec<StreamKey>,
    },
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct Origin {
    build: Option<BuildKey>,
    until: Time,
}

#[derive(Clone, Copy, Debug)]
struct Running {
    build: BuildKey,
    content: ContentKey,
    until: Time,
    /// Number of attempts that relay the stream here.
    attempts: usize,
}

/// The origins that one VM knows, and its questions to others.
#[derive(Clone, Debug, Default)]
pub struct Origins {
    known: BTreeMap<StreamKey, Origin>,
    by_expiry: BTreeSet<(Time, StreamKey)>,
    /// The streams that this VM relays.
    running: BTreeMap<StreamKey, Running>,
    lookups: BTreeMap<StreamKey, Lookup>,
}

impl Origins {
    /// Records the origin of a stream. Two different ones cannot both be true, so neither is believed.
    pub fn record(&mut self, now: Time, record: &OriginRecord) {
        let retention = Duration::from_millis(record.keep_ms.into()).min(MAX_RETENTION);
        let mut origin = Origin {
            build: record.build,
            until: now + retention,
        };
        if let Some(known) = self.known.remove(&record.stream) {
            self.by_expiry.remove(&(known.until, record.stream));
            if known.until > now {
                origin.until = origin.until.max(known.until);
                origin.build = origin.build.filter(|build| known.build == Some(*build));
            }
        }
        self.known.insert(record.stream, origin);
        self.by_expiry.insert((origin.until, record.stream));
        self.expire(now);
    }

    /// Returns the record of a stream, or `None` if it is not known here.
    #[must_use]
    pub fn get(&self, now: Time, stream: StreamKey) -> Option<OriginRecord> {
        let origin = self.known.get(&stream)?;
        let left = origin.until.since(now);
        (!left.is_zero()).then(|| OriginRecord::new(stream, origin.build, left))
    }

    /// Records that this VM begins to relay a stream whose caller may come back for `retention`. Returns what
    /// to tell the [`keepers`] of its content before its first event is sent to the caller.
    pub fn begin(
        &mut self,
        now: Time,
        (stream, content): (StreamKey, ContentKey),
        build: BuildKey,
        retention: Duration,
    ) -> OriginRecord {
        let record = OriginRecord::new(stream, Some(build), retention);
        self.record(now, &record);
        let until = now + retention.min(MAX_RETENTION);
        let running = self.running.entry(stream).or_insert(Running {
            build,
            content,
            until,
            attempts: 0,
        });
        running.attempts += 1;
        running.until = running.until.max(until);
        self.get(now, stream).unwrap_or(record)
    }

    /// Records that nobody can know the origin of a stream that this VM relays. Returns what to tell its
    /// keepers, or `None` if it is not known here.
    pub fn dispute(&mut self, now: Time, stream: StreamKey) -> Option<OriginRecord> {
        let known = self.get(now, stream)?;
        let disputed = OriginRecord {
            build: None,
            ..known
        };
        self.record(now, &disputed);
        self.running.remove(&stream);
        Some(disputed)
    }

    /// Records that an attempt no longer relays a stream. Its origin stays known.
    pub fn end(&mut self, stream: StreamKey) {
        if let Some(running) = self.running.get_mut(&stream) {
            running.attempts -= 1;
            if running.attempts == 0 {
                self.running.remove(&stream);
            }
        }
    }

    /// Returns what to tell again of the streams that this VM relays, by the VM to be told. It makes up for
    /// lost messages and for VMs that were replaced.
    #[must_use]
    pub fn retold(&self, now: Time, others: &Owners) -> BTreeMap<VmName, Vec<OriginRecord>> {
        let mut told: BTreeMap<VmName, Vec<OriginRecord>> = BTreeMap::new();
        for (stream, running) in &self.running {
            let left = running.until.since(now);
            // Another VM may have reported another build meanwhile.
            let known = self.get(now, *stream);
            let build = known.map_or(Some(running.build), |known| known.build);
            let record = OriginRecord::new(*stream, build, left);
            for keeper in keepers(others, running.content) {
                told.entry(keeper).or_default().push(record);
            }
        }
        told
    }

    /// Handles a message of another VM, and returns the answer to it.
    pub fn receive(
        &mut self,
        now: Time,
        from: &VmName,
        message: OriginMessage,
    ) -> Option<OriginMessage> {
        match message {
            OriginMessage::Told(records) => {
                for record in records.iter().take(MAX_BATCH) {
                    self.record(now, record);
                }
                None
            }
            OriginMessage::Asked { round, streams } => {
                let (mut known, mut unknown) = (Vec::new(), Vec::new());
                for stream in streams.into_iter().take(MAX_BATCH) {
                    match self.get(now, stream) {
                        Some(record) => known.push(record),
                        None => unknown.push(stream),
                    }
                }
                Some(OriginMessage::Answered {
                    round,
                    known,
                    unknown,
                })
            }
            OriginMessage::Answered {
                round,
                known,
                unknown,
            } => {
                // Only answers to own questions are stored, so that late ones take no memory.
                for record in known.iter().take(MAX_BATCH) {
                    if let Some(lookup) = self.lookups.get_mut(&record.stream) {
                        lookup.confirmed(from);
                        self.record(now, record);
                    }
                }
                for stream in unknown.iter().take(MAX_BATCH) {
                    if let Some(lookup) = self.lookups.get_mut(stream) {
                        lookup.denied(from, round);
                    }
                }
                None
            }
        }
    }

    /// Begins to look for the origin of a stream, or joins another lookup for it.
    pub fn begin_lookup(&mut self, now: Time, (stream, content): (StreamKey, ContentKey)) {
        let lookup = self.lookups.entry(stream);
        lookup.or_insert_with(|| Lookup::new(now, content)).join();
    }

    /// Begins to look for the origin of a stream that its caller does not name. What one VM knows, this one
    /// included, may be of an earlier stream of the caller, so the VMs that have the record have to agree.
    pub fn begin_unnamed_lookup(&mut self, now: Time, (stream, content): (StreamKey, ContentKey)) {
        self.begin_lookup(now, (stream, content));
        if let Some(lookup) = self.lookups.get_mut(&stream) {
            lookup.require_agreement();
        }
    }

    /// Ends a lookup, whatever it found.
    pub fn end_lookup(&mut self, stream: StreamKey) {
        if let Some(lookup) = self.lookups.get_mut(&stream)
            && lookup.leave()
        {
            self.lookups.remove(&stream);
        }
    }

    /// Returns what to do next in a lookup. `others` are the VMs that this one hears; `expects_others` tells
    /// whether there are some at all.
    pub fn next_step(
        &mut self,
        now: Time,
        stream: StreamKey,
        others: &Owners,
        expects_others: bool,
    ) -> Step {
        let record = self.get(now, stream);
        let is_alone = !expects_others && others.is_empty();
        let Some(lookup) = self.lookups.get_mut(&stream) else {
            return Step::Unknown;
        };
        match record.map(|record| record.build) {
            Some(None) => Step::Unknown,
            Some(Some(build)) if is_alone || lookup.is_agreed(now, others) => Step::Known(build),
            None if is_alone => Step::Unknown,
            Some(Some(_)) | None => lookup.next_step(now, others),
        }
    }

    /// Returns the number of streams whose origin is stored.
    #[must_use]
    pub fn len(&self) -> usize {
        self.known.len()
    }

    /// Returns whether no origin is stored.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.known.is_empty()
    }

    /// Drops what has expired, and what is beyond the bound.
    fn expire(&mut self, now: Time) {
        while let Some((until, stream)) = self.by_expiry.first().copied() {
            if until > now && self.known.len() <= MAX_STREAMS {
                return;
            }
            self.by_expiry.pop_first();
            self.known.remove(&stream);
        }
    }
}

/// Returns the VMs to which the origins of streams of this content are told, among those that a VM hears.
#[must_use]
pub fn keepers(others: &Owners, content: ContentKey) -> Vec<VmName> {
    nearest(others, content, COPIES)
}

fn nearest(others: &Owners, content: ContentKey, count: usize) -> Vec<VmName> {
    let key = hash64(&content.to_be_bytes());
    others.owners(key, count).into_iter().cloned().collect()
}
