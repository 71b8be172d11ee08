//! Room on the links that move prefill results.
//!
//! A result is evicted a fixed time after its prefill. A prefill therefore starts only if its
//! result and all results promised before it fit through the link within that time.

use std::collections::BTreeMap;
use std::time::Duration;

use super::estimate::real;
use crate::name::DataCentre;

/// Share of the time until eviction that transfers may fill.
///
/// The rest covers messages, streams that end later than expected and other users of the link.
const FILL: f64 = 0.7;

/// Bytes promised to each data centre's outgoing link.
#[derive(Debug, Default)]
pub(super) struct Links {
    promised: BTreeMap<DataCentre, u64>,
}

impl Links {
    /// Returns true if `bytes` more leave the link in time.
    ///
    /// A result that is too large for any link is let through when nothing else is promised;
    /// otherwise it would wait for ever.
    pub(super) fn fits(&self, from: &DataCentre, bytes: u64, rate: u64, ttl: Duration) -> bool {
        let promised = self.promised.get(from).copied().unwrap_or(0);
        let room = real(rate) * ttl.as_secs_f64() * FILL;
        promised == 0 || real(promised + bytes) <= room
    }

    /// Promises room for `bytes`.
    pub(super) fn reserve(&mut self, from: &DataCentre, bytes: u64) {
        *self.promised.entry(from.clone()).or_default() += bytes;
    }

    /// Takes a promise back after the transfer or its failure.
    pub(super) fn release(&mut self, from: &DataCentre, bytes: u64) {
        if let Some(promised) = self.promised.get_mut(from) {
            *promised = promised.saturating_sub(bytes);
        }
    }
}
