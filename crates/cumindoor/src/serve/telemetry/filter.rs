//! Which log lines are written.

use logforth::diagnostic::Diagnostic;
use logforth::filter::{Filter, FilterResult};
use logforth::record::{FilterCriteria, Level};

/// Accepts the router's own lines, and errors of libraries.
///
/// tarpc logs several lines for each call, also below the set level; they hid the changes of state
/// on a fleet of idle VMs.
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
