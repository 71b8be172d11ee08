//! The orders of one cell owner.

use std::collections::BTreeMap;

use crate::fence::{Authority, FenceOptions, FencingToken};
use crate::name::{Upstream, VmName};
use crate::time::Time;

/// An order that has to be sent now. It states everything that the engine shall be.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Order<W> {
    /// The engine.
    pub upstream: Upstream,
    /// The number.
    pub token: FencingToken,
    /// The whole desired state.
    pub desired: W,
}

#[derive(Clone, Debug)]
struct Engine<W> {
    obeys: bool,
    highest: FencingToken,
    fence: Option<FencingToken>,
    want: W,
    sent: Option<Time>,
    /// Refused with a higher number: another owner is active.
    beaten: bool,
}

/// What the owner of a cell wants its engines to be.
#[derive(Clone, Debug)]
pub struct Orders<W> {
    me: VmName,
    options: FenceOptions,
    engines: BTreeMap<Upstream, Engine<W>>,
    term: u64,
}

impl<W: Clone + PartialEq> Orders<W> {
    /// Creates the orders of a VM that has become the owner; nothing has been sent.
    #[must_use]
    pub const fn new(me: VmName, options: FenceOptions) -> Self {
        Self {
            me,
            options,
            engines: BTreeMap::new(),
            term: 0,
        }
    }

    /// Sets an engine's desired state; `obeys` says whether it checks fencing numbers.
    pub fn set_desired(&mut self, upstream: &Upstream, obeys: bool, want: W) {
        let entry = self.engines.get_mut(upstream);
        if let Some(engine) = entry {
            engine.obeys = obeys;
            if engine.want != want {
                engine.want = want;
                engine.sent = None;
            }
            return;
        }
        let engine = Engine {
            obeys,
            highest: FencingToken::default(),
            fence: None,
            want,
            sent: None,
            beaten: false,
        };
        self.engines.insert(upstream.clone(), engine);
    }

    /// Notes the highest number that the engine or a peer reports.
    pub fn observe_token(&mut self, upstream: &Upstream, highest: FencingToken) {
        if let Some(engine) = self.engines.get_mut(upstream) {
            engine.highest = engine.highest.max(highest);
        }
    }

    /// Notes that the engine refused an order because it has seen `highest`.
    pub fn record_refusal(&mut self, upstream: &Upstream, highest: FencingToken) {
        self.observe_token(upstream, highest);
        if let Some(engine) = self.engines.get_mut(upstream) {
            engine.beaten = engine.fence.is_some_and(|fence| fence < highest);
        }
    }

    /// Returns the orders that are due; send them in the same step, because the authority may end
    /// at any later time.
    ///
    /// An engine that checks numbers gets its order at once. After a refusal only an owner with
    /// authority counts on, so that two owners in a partition do not outbid each other for ever.
    /// An engine that ignores numbers gets orders only with authority, and only after the orders
    /// of earlier owners must have arrived. Everything is stated again after each change of the
    /// owner and every 10 s, which repairs what a restarted engine forgot.
    pub fn tick(&mut self, now: Time, authority: &Authority) -> Vec<Order<W>> {
        if authority.term() != self.term {
            self.term = authority.term();
            self.engines.values_mut().for_each(|e| e.sent = None);
        }
        let (holds, clear) = (authority.is_held(now), authority.is_exclusive(now));
        let mut orders = Vec::new();
        for (upstream, engine) in &mut self.engines {
            let allowed = if engine.obeys {
                !engine.beaten || holds
            } else {
                clear
            };
            let restate = self.options.resend_interval;
            let due = engine.sent.is_none_or(|sent| now.since(sent) >= restate);
            if !allowed || !(due || engine.beaten) {
                continue;
            }
            let fence = match engine.fence {
                Some(fence) if fence >= engine.highest => fence,
                _ => FencingToken::successor(engine.highest, &self.me),
            };
            (engine.fence, engine.highest) = (Some(fence), fence);
            engine.beaten = false;
            engine.sent = Some(now);
            orders.push(Order {
                upstream: upstream.clone(),
                token: fence,
                desired: engine.want.clone(),
            });
        }
        orders
    }
}
