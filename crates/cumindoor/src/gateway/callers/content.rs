//! What identifies a request each time that its caller sends it.

use std::net::IpAddr;
use std::sync::Arc;

use coord::poison::{fingerprint, part_fingerprint};
use derive_more::Display;
use hyper::http::request::Parts;

/// Maximum number of parts in a log line.
const MAX_LOGGED_PARTS: usize = 8;
/// Maximum number of digits of a part's id in a log line.
const MAX_LOGGED_DIGITS: usize = 16;

/// Fingerprints of the content of a request.
///
/// Each try of a caller has a new id, a new connection and often another gateway. Only the method, host
/// and path, and the body stay the same. The caller's address is no part of it: an upstream does not
/// see it, so what crashes an upstream for one caller does so for all. Crashes are counted for each
/// step, because a decode engine may well run what crashes a prefill engine, and the reverse.
#[derive(Clone, Debug, Display, PartialEq, Eq)]
#[display("{run:032x}")]
pub struct Content {
    /// Fingerprint of a run that answers the request.
    pub run: u128,
    /// Fingerprint of its prefill.
    pub prefill: u128,
    /// Address of the caller, for log events.
    pub caller: IpAddr,
    /// Hash of the method, host and path, for log events.
    pub target: u64,
    /// Hash of the body, for log events.
    pub body: u64,
    /// Ids of the parts of its prompt that other requests may have as well.
    pub parts: Arc<[Arc<str>]>,
    /// Fingerprints of these parts, in the same order.
    pub part_prints: Arc<[u128]>,
}

impl Content {
    /// Computes the fingerprints of a request.
    #[must_use]
    pub fn new(
        (caller, host): (IpAddr, &str),
        head: &Parts,
        body: &[u8],
        parts: &[Arc<str>],
    ) -> Self {
        let path = head.uri.path_and_query().map_or("/", |path| path.as_str());
        let [method, host, path] = [head.method.as_str(), host, path].map(str::as_bytes);
        let run = fingerprint(&[method, host, path, body]);
        Self {
            run,
            prefill: !run,
            caller,
            target: short(fingerprint(&[method, host, path])),
            body: short(fingerprint(&[body])),
            parts: parts.into(),
            part_prints: parts
                .iter()
                .map(|id| part_fingerprint(id.as_bytes()))
                .collect(),
        }
    }

    /// Returns the fingerprints of all steps.
    #[must_use]
    pub fn steps(&self) -> [u128; 2] {
        [self.run, self.prefill]
    }

    /// Returns the ids of the first shared parts for log events.
    #[must_use]
    pub fn logged_parts(&self) -> String {
        self.logged(|_| true)
    }

    /// Returns the ids of the first of these parts for log events.
    #[must_use]
    pub fn logged(&self, is_named: impl Fn(u128) -> bool) -> String {
        let all = self.parts.iter().zip(self.part_prints.iter());
        let named = all.filter(|(_, print)| is_named(**print));
        // An id has ASCII digits only.
        let shown = named.map(|(id, _)| id.get(..MAX_LOGGED_DIGITS).unwrap_or(id));
        let shown: Vec<&str> = shown.take(MAX_LOGGED_PARTS).collect();
        shown.join(",")
    }
}

/// Shortens a fingerprint for log events.
fn short(print: u128) -> u64 {
    let [high, low] = [print >> 64, print & u128::from(u64::MAX)];
    u64::try_from(high ^ low).unwrap_or(u64::MAX)
}
