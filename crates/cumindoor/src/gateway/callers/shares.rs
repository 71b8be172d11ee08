//! How the memory and the descriptors of the machine are divided.

use crate::gateway::settings::Resources;
use crate::ini::Bytes;

const KB: u64 = 1_000;
const MB: u64 = 1_000 * KB;
/// Size of the account if neither it nor the memory of the machine is configured.
const DEFAULT_ACCOUNT: u64 = 32 * MB;
/// Smallest size of the account that follows from the memory of the machine. One body of 4 MB fits while it is
/// moved to a larger buffer.
const MIN_ACCOUNT: u64 = 8 * MB;
/// Memory that the process needs besides callers: its code, routes, upstreams, gateways and connections to them.
const OWN_NEED: u64 = 28 * MB;
/// The account takes one part in this number of the rest.
const ACCOUNT_PARTS: u64 = 2;
/// Connections take one part in this number of the rest. What is left is for the allocator.
const CONNECTION_PARTS: u64 = 4;
/// Memory of one connection: a read buffer of the largest head (16 KB) and the one that the frame before was cut
/// from, a write buffer (8 KB) and the state of a request.
const CONNECTION_BYTES: u64 = 48 * KB;
/// Fewest connections that follow from the memory and the descriptors of the machine.
const MIN_CONNECTIONS: u64 = 64;
/// Descriptors that the platform keeps for files.
const FILE_DESCRIPTORS: u64 = 200;
/// Descriptors for other gateways, the store, readiness checks and kept connections to upstreams.
const OWN_DESCRIPTORS: u64 = 500;
/// Descriptors of one caller: its connection, and one to an upstream.
const CALLER_DESCRIPTORS: u64 = 2;

/// Memory of a machine from which on the defaults leave enough for everything else.
const LARGE_MACHINE: u64 = 1_000 * MB;

/// Lets the memory of a small machine count as that of the process, unless the settings state one.
pub fn limit_to_machine(resources: &mut Resources, machine: u64) {
    if resources.memory.is_none() && machine < LARGE_MACHINE {
        resources.memory = Some(Bytes(machine));
    }
}

/// What callers may take in one process.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Shares {
    /// Bytes of bodies and unread answers.
    pub account: usize,
    /// Number of connections.
    pub connections: usize,
}

impl Shares {
    /// Returns the shares that follow from the settings.
    #[must_use]
    pub fn new(resources: &Resources) -> Self {
        let memory = resources.memory.as_ref().map(|bytes| bytes.0);
        let rest = memory.map(|memory| memory.saturating_sub(OWN_NEED));
        let derived = rest.map_or(DEFAULT_ACCOUNT, |rest| {
            (rest / ACCOUNT_PARTS).max(MIN_ACCOUNT)
        });
        let account = resources.bodies.as_ref().map_or(derived, |bytes| bytes.0);
        let by_memory = rest.map(|rest| rest / CONNECTION_PARTS / CONNECTION_BYTES);
        let descriptors = resources.descriptors.as_ref();
        let by_descriptors = descriptors.map(|count| {
            let free = u64::from(count.0).saturating_sub(FILE_DESCRIPTORS + OWN_DESCRIPTORS);
            free / CALLER_DESCRIPTORS
        });
        let configured = u64::from(resources.connections.0);
        let bounds = [by_memory, by_descriptors].into_iter().flatten();
        let bounds = bounds.map(|bound| bound.max(MIN_CONNECTIONS));
        let connections = bounds.fold(configured, u64::min);
        let size = |bytes: u64| usize::try_from(bytes).unwrap_or(usize::MAX);
        Self {
            account: size(account),
            connections: size(connections),
        }
    }
}
