//! Room on the links that move prefill results.
//!
//! A result is evicted a fixed time after its prefill. A prefill therefore starts only if its
//! result, and every result promised before it, can leave the link within that time. The link is
//! taken to move one result after the other, in the order in which their prefills end.

use std::collections::BTreeMap;
use std::time::Duration;

use super::estimate::real;
use super::types::JobId;
use crate::name::DataCentre;
use crate::time::Time;

/// Share of the time until eviction in which a transfer must be expected to end.
///
/// The rest covers messages, prefills that end later than expected and other users of the link.
const FILL: f64 = 0.7;

/// A result that will use the link.
#[derive(Clone, Copy, Debug)]
struct Promise {
    id: JobId,
    /// When its prefill has ended, or is expected to.
    ready: Time,
    bytes: u64,
}

/// The results promised to each data centre's outgoing link.
#[derive(Debug, Default)]
pub(super) struct Links {
    promised: BTreeMap<DataCentre, Vec<Promise>>,
}

/// Properties of every link.
#[derive(Clone, Copy, Debug)]
pub(super) struct LinkLimits {
    /// Bytes per second.
    pub(super) rate: u64,
    /// Time from the end of a prefill to the eviction of its result.
    pub(super) ttl: Duration,
}

impl Links {
    /// Returns true if a result of `bytes` that is ready at `ready` leaves the link in time, and
    /// delays no other one too long.
    ///
    /// A result that is too large for any link is let through when nothing else is promised;
    /// otherwise it would wait for ever.
    pub(super) fn fits(
        &self,
        now: Time,
        from: &DataCentre,
        ready: Time,
        bytes: u64,
        limits: LinkLimits,
    ) -> bool {
        let promised = self.promised.get(from).map_or(&[][..], Vec::as_slice);
        if promised.is_empty() {
            return true;
        }
        let new = Promise {
            id: JobId(0),
            ready,
            bytes,
        };
        let at = promised.partition_point(|p| p.ready <= ready);
        let before = promised[..at].iter();
        let all = before.chain([&new]).chain(&promised[at..]);
        let mut free = Time::ZERO;
        for (index, promise) in all.enumerate() {
            let time = Duration::from_secs_f64(real(promise.bytes) / real(limits.rate.max(1)));
            // What should have left by now is still there, so it is leaving at best.
            free = (free.max(promise.ready) + time).max(now);
            if index >= at && free > promise.ready + limits.ttl.mul_f64(FILL) {
                return false;
            }
        }
        true
    }

    /// Promises room for a result that will be ready at `ready`.
    pub(super) fn reserve(&mut self, from: &DataCentre, id: JobId, ready: Time, bytes: u64) {
        let promised = self.promised.entry(from.clone()).or_default();
        let at = promised.partition_point(|p| p.ready <= ready);
        promised.insert(at, Promise { id, ready, bytes });
    }

    /// Corrects when a result has become ready.
    pub(super) fn ready(&mut self, now: Time, from: &DataCentre, id: JobId) {
        if let Some(bytes) = self.release(from, id) {
            self.reserve(from, id, now, bytes);
        }
    }

    /// Takes a promise back after the transfer or its failure; returns its bytes.
    pub(super) fn release(&mut self, from: &DataCentre, id: JobId) -> Option<u64> {
        let promised = self.promised.get_mut(from)?;
        let at = promised.iter().position(|p| p.id == id)?;
        Some(promised.remove(at).bytes)
    }
}
