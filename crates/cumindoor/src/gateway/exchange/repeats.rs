//! The tokens of the retry budget that one request needs.

use std::sync::atomic::{AtomicBool, AtomicU32, Ordering};

/// Arrivals of a request at upstreams and the tokens that were taken for them.
///
/// Each arrival beyond the first needs a token. The first prefill that an engine accepts is not counted. Whether
/// it accepts one is known from its answer only, so a prefill counts until it is answered.
#[derive(Default)]
pub(super) struct Repeats {
    arrivals: AtomicU32,
    tokens: AtomicU32,
    prefilled: AtomicBool,
}

impl Repeats {
    /// Returns whether the next arrival needs a token that was not taken yet.
    pub(super) fn needs_token(&self) -> bool {
        self.arrivals.load(Ordering::Relaxed) > self.tokens.load(Ordering::Relaxed)
    }

    /// Records that a token was taken.
    pub(super) fn add_token(&self) {
        self.tokens.fetch_add(1, Ordering::Relaxed);
    }

    /// Counts an arrival, before the request is sent.
    pub(super) fn add_arrival(&self) {
        self.arrivals.fetch_add(1, Ordering::Relaxed);
    }

    /// Takes an arrival back, because the request certainly did not reach the upstream.
    pub(super) fn remove_arrival(&self) {
        self.arrivals.fetch_sub(1, Ordering::Relaxed);
    }

    /// Records that an engine accepted a prefill.
    pub(super) fn record_prefilled(&self) {
        if !self.prefilled.swap(true, Ordering::Relaxed) {
            self.remove_arrival();
        }
    }
}
