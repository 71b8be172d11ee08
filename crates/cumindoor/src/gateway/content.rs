//! What identifies a request each time that its caller sends it.

use std::net::IpAddr;

use coord::poison::fingerprint;
use derive_more::Display;
use hyper::http::request::Parts;

/// Fingerprints of the content of a request.
///
/// Each try of a caller has a new id, a new connection and often another gateway. Only the caller's
/// address, the method, host and path, and the body stay the same. Crashes are counted for each
/// step, because a decode engine may well run what crashes a prefill engine, and the reverse.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq)]
#[display("{run:032x}")]
pub struct Content {
    /// Fingerprint of a run that answers the request.
    pub run: u128,
    /// Fingerprint of its prefill.
    pub prefill: u128,
}

impl Content {
    /// Computes the fingerprints of a request.
    #[must_use]
    pub fn new(caller: IpAddr, host: &str, parts: &Parts, body: &[u8]) -> Self {
        let caller = caller.to_string();
        let path = parts.uri.path_and_query().map_or("/", |path| path.as_str());
        let texts = [&*caller, parts.method.as_str(), host, path];
        let [caller, method, host, path] = texts.map(str::as_bytes);
        let run = fingerprint(&[caller, method, host, path, body]);
        Self { run, prefill: !run }
    }

    /// Returns the fingerprints of all steps.
    #[must_use]
    pub fn steps(self) -> [u128; 2] {
        [self.run, self.prefill]
    }
}
