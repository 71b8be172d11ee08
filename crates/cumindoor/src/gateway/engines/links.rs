//! Whether this gateway reaches the upstreams of a service over its own links.
//!
//! A gateway may lose its links to all upstreams while callers and other gateways still reach it. That none
//! of several upstreams answers shows this only if another gateway does reach them; otherwise they are
//! down. See `docs/design.md`, section 6.13.

mod check;

use std::collections::BTreeMap;
use std::time::Duration;

pub(in crate::gateway) use check::is_reached;
pub use check::{is_lost, settled, suspect};
use coord::name::Service;
use coord::time::Time;

use crate::gateway::admission::load_table::{Key, service_key};

/// Time after a check within which no other one begins. An upstream that crashes breaks many requests off
/// at once.
const CHECK_INTERVAL: Duration = Duration::from_millis(200);
/// Time after an answer of an upstream within which its service counts as reached.
const ANSWER_LIFETIME: Duration = Duration::from_millis(100);
/// Consecutive answers after which links that were lost are used again.
const ANSWERS_TO_RETURN: u32 = 2;
/// Time after a return within which another loss makes the next return take twice as many answers.
const RELAPSE_TIME: Duration = Duration::from_secs(10);
/// How many times that number is doubled at most: to 16 answers, 4 s.
const MAX_RELAPSES: u32 = 3;

/// What is known of the links to the upstreams of one service.
#[derive(Clone, Copy, Debug, Default)]
struct Link {
    /// When an upstream last sent something over an own link.
    heard: Option<Time>,
    /// Whether a check is running.
    checking: bool,
    /// When the last check ended.
    checked: Option<Time>,
    /// Whether no upstream answered in the last check.
    unanswered: bool,
    /// Since when the links count as lost.
    lost: Option<Time>,
    /// Consecutive answers since then.
    answers: u32,
    /// When lost links last returned.
    returned: Option<Time>,
    /// Losses in a row that came soon after a return.
    relapses: u32,
}

/// What a check of the links has found.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Finding {
    /// An upstream answers.
    Reached,
    /// No upstream answers, and no other gateway reaches one either.
    Down,
    /// No upstream answers here, and another gateway reaches one.
    Lost,
}

/// The links to the upstreams, by service.
#[derive(Clone, Debug, Default)]
pub struct Links {
    services: BTreeMap<Service, Link>,
}

impl Links {
    /// Records that an upstream sent something over an own link.
    pub fn record_heard(&mut self, now: Time, service: &Service) {
        // The name is copied only once.
        let link = match self.services.get_mut(service) {
            Some(link) => link,
            None => self.services.entry(service.clone()).or_default(),
        };
        link.heard = Some(now);
        link.unanswered = false;
    }

    /// Returns whether an upstream has sent something since `since`.
    #[must_use]
    pub fn has_heard_since(&self, service: &Service, since: Time) -> bool {
        let link = self.services.get(service);
        link.is_some_and(|link| link.heard >= Some(since))
    }

    /// Returns whether upstreams of the service are reached, as far as that is known without a question.
    #[must_use]
    pub fn known(&self, now: Time, service: &Service) -> Option<bool> {
        let link = self.services.get(service)?;
        if link.lost.is_some() {
            return Some(false);
        }
        let recent = link.heard.is_some_and(|at| now.since(at) < ANSWER_LIFETIME);
        recent.then_some(true)
    }

    /// Begins a check. Returns false if none is needed now.
    pub fn begin_check(&mut self, now: Time, service: &Service) -> bool {
        let link = self.link(service);
        let recent = link
            .checked
            .is_some_and(|at| now.since(at) < CHECK_INTERVAL);
        if link.checking || link.lost.is_some() || recent {
            return false;
        }
        link.checking = true;
        // What raised the doubt came later.
        link.heard = None;
        true
    }

    /// Records that no upstream answered in the check that is running, which other gateways have to know
    /// before they look for one that reaches upstreams.
    pub fn record_unanswered(&mut self, service: &Service) {
        self.link(service).unanswered = true;
    }

    /// Ends a check. Returns whether other gateways have to know what it found.
    pub fn end_check(&mut self, now: Time, service: &Service, finding: Finding) -> bool {
        let link = self.link(service);
        let is_news = link.unanswered || finding != Finding::Reached;
        link.checking = false;
        link.checked = Some(now);
        link.unanswered = finding != Finding::Reached;
        if finding == Finding::Lost {
            let soon = link.returned.is_some_and(|at| now.since(at) < RELAPSE_TIME);
            link.relapses = if soon {
                (link.relapses + 1).min(MAX_RELAPSES)
            } else {
                0
            };
            link.lost = Some(now);
            link.answers = 0;
        }
        is_news
    }

    /// Returns whether a check is running.
    #[must_use]
    pub fn is_checked(&self, service: &Service) -> bool {
        self.services.get(service).is_some_and(|link| link.checking)
    }

    /// Returns whether the links to the upstreams of the service are lost.
    #[must_use]
    pub fn is_lost(&self, service: &Service) -> bool {
        let link = self.services.get(service);
        link.is_some_and(|link| link.lost.is_some())
    }

    /// Records whether an upstream answered over links that are lost. Returns for how long they were lost if
    /// they are used again from now on.
    pub fn record_probe(
        &mut self,
        now: Time,
        service: &Service,
        answered: bool,
    ) -> Option<Duration> {
        let link = self.link(service);
        let since = link.lost?;
        link.answers = if answered { link.answers + 1 } else { 0 };
        if link.answers < ANSWERS_TO_RETURN << link.relapses {
            return None;
        }
        link.lost = None;
        link.unanswered = false;
        link.returned = Some(now);
        Some(now.since(since))
    }

    /// Returns whether no upstream of the service answered when some were last asked.
    #[must_use]
    pub fn is_unreachable(&self, service: &Service) -> bool {
        let link = self.services.get(service);
        link.is_some_and(|link| link.unanswered || link.lost.is_some())
    }

    /// Returns the services of which no upstream answers, for the digest.
    #[must_use]
    pub fn unreachable(&self) -> Vec<Key> {
        let silent = |link: &Link| link.unanswered || link.lost.is_some();
        let silent = self.services.iter().filter(|(_, link)| silent(link));
        silent.map(|(service, _)| service_key(service)).collect()
    }

    fn link(&mut self, service: &Service) -> &mut Link {
        self.services.entry(service.clone()).or_default()
    }
}
