//! The orders of a cell's owner to its engines.

use std::collections::BTreeMap;

use crate::fence::{Authority, FenceOptions, FencingToken};
use crate::name::{Upstream, VmName};
use crate::time::Time;

/// An order that has to be sent now. It contains the whole desired state of the engine.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Order<W> {
    /// The engine that the order is sent to.
    pub upstream: Upstream,
    /// The fencing token of the order.
    pub token: FencingToken,
    /// The whole desired state.
    pub desired: W,
}

#[derive(Clone, Debug)]
struct Engine<W> {
    checks_tokens: bool,
    highest: FencingToken,
    token: Option<FencingToken>,
    desired: W,
    sent_at: Option<Time>,
    /// Whether the engine refused an order because it knows a higher token of another owner.
    superseded: bool,
}

/// The desired states of the engines of a cell, and what has been sent to them.
#[derive(Clone, Debug)]
pub struct Orders<W> {
    owner: VmName,
    options: FenceOptions,
    engines: BTreeMap<Upstream, Engine<W>>,
    term: u64,
}

impl<W: Clone + PartialEq> Orders<W> {
    /// Creates the orders of a VM that has just become the owner and has sent nothing.
    #[must_use]
    pub const fn new(owner: VmName, options: FenceOptions) -> Self {
        Self {
            owner,
            options,
            engines: BTreeMap::new(),
            term: 0,
        }
    }

    /// Sets the desired state of an engine and whether the engine checks fencing tokens.
    pub fn set_desired(&mut self, upstream: &Upstream, checks_tokens: bool, desired: W) {
        let existing = self.engines.get_mut(upstream);
        if let Some(engine) = existing {
            engine.checks_tokens = checks_tokens;
            if engine.desired != desired {
                engine.desired = desired;
                engine.sent_at = None;
            }
            return;
        }
        let engine = Engine {
            checks_tokens,
            highest: FencingToken::default(),
            token: None,
            desired,
            sent_at: None,
            superseded: false,
        };
        self.engines.insert(upstream.clone(), engine);
    }

    /// Records the highest token that the engine or a peer reports.
    pub fn observe_token(&mut self, upstream: &Upstream, highest: FencingToken) {
        if let Some(engine) = self.engines.get_mut(upstream) {
            engine.highest = engine.highest.max(highest);
        }
    }

    /// Records that the engine refused an order because it has seen the token `highest`.
    pub fn record_refusal(&mut self, upstream: &Upstream, highest: FencingToken) {
        self.observe_token(upstream, highest);
        if let Some(engine) = self.engines.get_mut(upstream) {
            engine.superseded = engine.token.is_some_and(|token| token < highest);
        }
    }

    /// Returns the orders that are due. The caller must send them immediately, because the
    /// authority may expire at any later time.
    ///
    /// An engine that checks tokens receives its order immediately. After a refusal, only an owner
    /// with authority draws a higher token, so that two owners in a partition do not draw ever
    /// higher tokens in turn. An engine that ignores tokens receives orders only from an owner with
    /// authority, and only after the orders of earlier owners must have arrived. All orders are
    /// sent again after each acquisition of the authority and every
    /// [`FenceOptions::resend_interval`], because a restarted engine has lost its state.
    pub fn tick(&mut self, now: Time, authority: &Authority) -> Vec<Order<W>> {
        if authority.term() != self.term {
            self.term = authority.term();
            self.engines.values_mut().for_each(|e| e.sent_at = None);
        }
        let (held, exclusive) = (authority.is_held(now), authority.is_exclusive(now));
        let mut orders = Vec::new();
        for (upstream, engine) in &mut self.engines {
            let allowed = if engine.checks_tokens {
                !engine.superseded || held
            } else {
                exclusive
            };
            let resend_interval = self.options.resend_interval;
            let due = engine
                .sent_at
                .is_none_or(|sent| now.since(sent) >= resend_interval);
            if !allowed || !(due || engine.superseded) {
                continue;
            }
            let token = match engine.token {
                Some(token) if token >= engine.highest => token,
                _ => FencingToken::successor(engine.highest, &self.owner),
            };
            (engine.token, engine.highest) = (Some(token), token);
            engine.superseded = false;
            engine.sent_at = Some(now);
            orders.push(Order {
                upstream: upstream.clone(),
                token,
                desired: engine.desired.clone(),
            });
        }
        orders
    }
}
