//! The filter for log records by their target.

use logforth::diagnostic::Diagnostic;
use logforth::filter::{Filter, FilterResult};
use logforth::record::{FilterCriteria, Level};

/// Accepts the records of this crate, and errors of other crates.
///
/// tarpc logs several lines for each call, also below the configured level. On idle VMs, these
/// lines make the records of state changes hard to find.
#[derive(Debug)]
pub(super) struct OwnTargets;

impl Filter for OwnTargets {
    fn enabled(&self, criteria: &FilterCriteria, _: &[Box<dyn Diagnostic>]) -> FilterResult {
        let own = criteria.target().starts_with(env!("CARGO_CRATE_NAME"));
        if own || criteria.level() >= Level::Error {
            return FilterResult::Neutral;
        }
        FilterResult::Reject
    }
}

#[cfg(test)]
mod tests;
