//! Reservations on the links that transfer prefill results.
//!
//! A result is evicted a fixed time after its prefill has finished. A prefill therefore starts only
//! if its result, and every result with a reservation, can be transferred within that time. The
//! link is modelled as transferring one result after the other, in the order in which their
//! prefills end.

use std::collections::BTreeMap;
use std::time::Duration;

use super::estimate::to_f64;
use super::types::JobId;
use crate::name::DataCentre;
use crate::time::Time;

/// Share of the time until eviction within which a transfer must be expected to end.
///
/// The rest is a margin for message latency, prefills that end later than expected and other
/// traffic on the link.
const TRANSFER_TTL_SHARE: f64 = 0.7;

/// A reservation for the transfer of one result.
#[derive(Clone, Copy, Debug)]
struct Transfer {
    id: JobId,
    /// When its prefill ended, or is expected to end.
    ready: Time,
    bytes: u64,
}

/// The reservations on the outgoing link of each data centre, ordered by `ready`.
#[derive(Debug, Default)]
pub(super) struct Links {
    transfers: BTreeMap<DataCentre, Vec<Transfer>>,
}

/// Limits that apply to every link.
#[derive(Clone, Copy, Debug)]
pub(super) struct LinkLimits {
    /// Bandwidth in bytes per second.
    pub(super) rate: u64,
    /// Time from the end of a prefill to the eviction of its result.
    pub(super) ttl: Duration,
}

impl Links {
    /// Returns true if a result of `bytes` that is ready at `ready` can be transferred in time
    /// without delaying another reserved transfer too long.
    ///
    /// Without other reservations every result fits. A result that is too large to be transferred
    /// in time would otherwise wait for ever.
    pub(super) fn fits(
        &self,
        now: Time,
        from: &DataCentre,
        ready: Time,
        bytes: u64,
        limits: LinkLimits,
    ) -> bool {
        let transfers = self.transfers.get(from).map_or(&[][..], Vec::as_slice);
        if transfers.is_empty() {
            return true;
        }
        let new = Transfer {
            id: JobId(0),
            ready,
            bytes,
        };
        let at = transfers.partition_point(|t| t.ready <= ready);
        let before = transfers[..at].iter();
        let all = before.chain([&new]).chain(&transfers[at..]);
        let mut free = Time::ZERO;
        for (index, transfer) in all.enumerate() {
            let time = Duration::from_secs_f64(to_f64(transfer.bytes) / to_f64(limits.rate.max(1)));
            // A transfer with a reservation has not ended yet, so it ends now at the earliest.
            free = (free.max(transfer.ready) + time).max(now);
            if index >= at && free > transfer.ready + limits.ttl.mul_f64(TRANSFER_TTL_SHARE) {
                return false;
            }
        }
        true
    }

    /// Adds a reservation for a result that will be ready at `ready`.
    pub(super) fn reserve(&mut self, from: &DataCentre, id: JobId, ready: Time, bytes: u64) {
        let transfers = self.transfers.entry(from.clone()).or_default();
        let at = transfers.partition_point(|t| t.ready <= ready);
        transfers.insert(at, Transfer { id, ready, bytes });
    }

    /// Sets the time at which a result has become ready to `now`.
    pub(super) fn set_ready(&mut self, now: Time, from: &DataCentre, id: JobId) {
        if let Some(bytes) = self.release(from, id) {
            self.reserve(from, id, now, bytes);
        }
    }

    /// Removes the reservation of a transfer that has ended or failed. Returns its size in bytes.
    pub(super) fn release(&mut self, from: &DataCentre, id: JobId) -> Option<u64> {
        let transfers = self.transfers.get_mut(from)?;
        let at = transfers.iter().position(|t| t.id == id)?;
        Some(transfers.remove(at).bytes)
    }
}
