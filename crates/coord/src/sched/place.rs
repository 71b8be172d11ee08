//! The choice of engines for one job.
//!
//! Every prefill engine is rated by when it would finish this prompt: its backlog plus the
//! tokens that its cache does not hold. A busy engine that holds the prefix may thus be better
//! than an idle one that does not, and the job waits for it.

use std::time::Duration;

use super::Scheduler;
use super::fleet::Slot;
use super::job::Entry;
use super::prefix::{MAX_ENGINES, Matches};
use super::types::{Class, Role};
use crate::hash::rendezvous_score;
use crate::time::Time;

/// A prefill is sent this long before the engine's present one is expected to end, so that the
/// engine does not idle while messages travel.
const LOOKAHEAD: Duration = Duration::from_millis(10);

/// Prefills on one engine at a time: the running one and the next one.
const MAX_PREFILLS: usize = 2;

/// Share of the time until eviction that a finished prefill may wait for a decode slot.
const READY_SHARE: f64 = 0.4;

/// Work that earlier jobs will bring to engines for which they wait.
pub(super) type Planned = [Duration; MAX_ENGINES];

/// What is known about a prompt's prefix.
struct Found {
    matches: Matches,
    /// Leading blocks that the best engine holds.
    held: u16,
    /// The open engine that the prefix had before.
    home: Option<usize>,
    /// Open engines that compute prompts.
    engines: usize,
}

/// Where a job should run.
#[derive(Clone, Copy, Debug)]
pub(super) struct Choice {
    pub(super) prefill: usize,
    /// The engine whose slot is reserved; `None` while no slot is expected.
    pub(super) decode: Option<usize>,
    /// Prompt tokens that are not cached there.
    pub(super) work: u32,
    /// Expected duration of the prefill.
    pub(super) time: Duration,
    /// True if the prefill may start now.
    pub(super) now: bool,
}

impl Scheduler {
    /// Returns true if some prefill engine takes a prompt now.
    pub(super) fn any_prefill(&self, now: Time) -> bool {
        self.fleet.slots.iter().any(|s| takes_prompt(s, now))
    }

    fn find(&self, now: Time, prefix: &[u64]) -> Found {
        let matches = self.prefixes.matches(prefix);
        let open = |i: &usize| self.fleet.slots[*i].open(now);
        let slots = self.fleet.slots.iter();
        Found {
            held: matches.iter().copied().max().unwrap_or(0),
            matches,
            home: self.homes.of(prefix).filter(open),
            engines: slots
                .filter(|s| s.open(now) && s.prefills_prompts())
                .count(),
        }
    }

    /// Returns the engines on which a job should run, or `None` if none is open.
    pub(super) fn place(&self, now: Time, entry: &Entry, planned: &Planned) -> Option<Choice> {
        let found = self.find(now, &entry.job.prefix);
        let key = entry.job.prefix.first().copied().unwrap_or_default();
        let mut best: Option<((Duration, u64), Choice)> = None;
        for (index, slot) in self.fleet.slots.iter().enumerate() {
            if !slot.open(now) || !slot.prefills_prompts() {
                continue;
            }
            let choice = self.rate(entry, index, &found.matches);
            let start =
                slot.busy_until.since(now) + planned.get(index).copied().unwrap_or_default();
            let score = start + choice.time + self.eviction_cost(index, &found, &choice);
            // Equal engines are told apart by rendezvous, so a new prefix finds the same engine
            // again after its blocks were evicted.
            let tie = || u64::MAX - rendezvous_score(key, slot.engine.name.as_str());
            let better = match &best {
                None => true,
                Some(((least, _), _)) if score != *least => score < *least,
                Some(((_, least), _)) => tie() < *least,
            };
            if better {
                let now_free =
                    takes_prompt(slot, now) && planned[index.min(MAX_ENGINES - 1)].is_zero();
                best = Some((
                    (score, tie()),
                    Choice {
                        now: now_free,
                        ..choice
                    },
                ));
            }
        }
        best.map(|(_, choice)| choice)
    }

    /// Returns what a job costs on one engine, and the slot that it would use.
    fn rate(&self, entry: &Entry, index: usize, matches: &Matches) -> Choice {
        let blocks = u32::from(matches.get(index).copied().unwrap_or(0));
        let cached = blocks * self.options.block_tokens;
        let work = entry.job.prompt_tokens.saturating_sub(cached);
        Choice {
            prefill: index,
            decode: None,
            work,
            time: self.estimates.prefill(work),
            now: false,
        }
    }

    /// Returns what a prompt on this engine costs the prefixes of others.
    ///
    /// A further copy evicts as many blocks, which have to be computed again; so does a prefix
    /// away from its home. A cache that is not full evicts nothing.
    fn eviction_cost(&self, index: usize, found: &Found, choice: &Choice) -> Duration {
        if !self.prefixes.full(index) {
            return Duration::ZERO;
        }
        let own = found.matches.get(index).copied().unwrap_or(0);
        let copied = u32::from(found.held.saturating_sub(own));
        let copy = self.estimates.compute(copied * self.options.block_tokens);
        let astray = match found.home {
            Some(home) => home != index && own == 0,
            None => self.homes.crowded(index, found.engines),
        };
        if astray { copy.max(choice.time) } else { copy }
    }

    /// Returns the engine whose slot a prefill on `prefill` of `time` may count on.
    pub(super) fn slot_for(&self, now: Time, class: Class, choice: &Choice) -> Option<usize> {
        let source = &self.fleet.slots[choice.prefill];
        if source.engine.role == Role::Both {
            return (source.free() > self.reserve(now, class)).then_some(choice.prefill);
        }
        let open = || {
            self.fleet
                .slots
                .iter()
                .enumerate()
                .filter(|(_, s)| s.open(now) && s.decodes())
        };
        let total = open().map(|(_, s)| s.engine.slots).sum::<u32>();
        let taken = open()
            .map(|(_, s)| s.used + s.reserved + s.foreign)
            .sum::<u32>();
        let streams = open().map(|(_, s)| s.used).sum::<u32>();
        let horizon = choice.time + self.options.prefill_ttl.mul_f64(READY_SHARE);
        let freed = self.estimates.freed(streams, horizon);
        let fits = taken + self.reserve(now, class) < total + freed;
        let emptiest =
            open().max_by_key(|(i, s)| (s.free(), u32::MAX - s.reserved, usize::MAX - i));
        emptiest.map(|(index, _)| index).filter(|_| fits)
    }

    /// Returns the link room that the job needs if it runs on `choice`, and whether there is any.
    pub(super) fn link_fits(&self, entry: &Entry, choice: &Choice) -> bool {
        let source = &self.fleet.slots[choice.prefill].engine;
        if source.role == Role::Both {
            return true;
        }
        let (rate, ttl) = (self.options.link_rate, self.options.prefill_ttl);
        self.links
            .fits(&source.data_centre, self.bytes(entry), rate, ttl)
    }

    /// Returns the free slot of any open engine for a finished prefill, the reserved one first.
    pub(super) fn slot_now(&self, now: Time, source: usize, reserved: usize) -> Option<usize> {
        let has_room = |s: &Slot| s.used + s.foreign < s.engine.slots && s.decodes();
        let first = &self.fleet.slots[reserved];
        let kept = source == reserved || first.takes_reserved();
        if has_room(first) && first.full_until <= now && kept {
            return Some(reserved);
        }
        if self.fleet.slots[source].engine.role == Role::Both {
            return None;
        }
        let all = self.fleet.slots.iter().enumerate();
        let open = all.filter(|(_, s)| s.open(now) && s.full_until <= now && has_room(s));
        open.max_by_key(|(i, s)| (s.free(), usize::MAX - i))
            .map(|(i, _)| i)
    }
}

/// Returns true if the engine takes a prompt now.
fn takes_prompt(slot: &Slot, now: Time) -> bool {
    let soon = slot.busy_until <= now + LOOKAHEAD;
    let room = slot.prefills.len() < MAX_PREFILLS && slot.full_until <= now;
    slot.open(now) && slot.prefills_prompts() && soon && room
}
