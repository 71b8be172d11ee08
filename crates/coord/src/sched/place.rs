//! The choice of engines for one job.
//!
//! Every prefill engine is rated by when it would finish this prompt: its backlog plus the
//! tokens that its cache does not hold. A busy engine that holds the prefix may thus be better
//! than an idle one that does not, and the job waits for it.

use std::time::Duration;

use super::Scheduler;
use super::fleet::Slot;
use super::job::Entry;
use super::links::LinkLimits;
use super::prefix::Matches;
use super::types::{Class, Role};
use crate::hash::rendezvous_score;
use crate::time::Time;

/// A prefill is sent this long before the engine's present one is expected to end, so that the
/// engine does not idle while messages travel.
const LOOKAHEAD: Duration = Duration::from_millis(10);

/// Prefills on one engine at a time: the running one and the next one.
const MAX_PREFILLS: usize = 2;

/// Share of the time until eviction that a finished prefill may wait for a decode slot.
const READY_SHARE: f64 = 0.6;

/// Share of the time left before its deadline that it may wait there.
const SLACK_SHARE: f64 = 0.5;

/// Open prefill engines as they look during one pass over the queue.
///
/// Times are in microseconds: a pass rates every engine for several jobs, and integer arithmetic
/// keeps it within the time limit of a decision.
pub(super) type Candidates = Vec<Candidate>;

/// One open prefill engine.
#[derive(Clone, Copy, Debug)]
pub(super) struct Candidate {
    index: usize,
    /// Time until its prefills end, work that earlier jobs will bring included.
    wait: u64,
    /// Time until a slot is free for a job of each class; 0 unless its prompts stay there.
    slot: [u64; 2],
    /// True if it takes a prompt now and no earlier job waits for it.
    free: bool,
    /// True if a new block evicts another one.
    full: bool,
}

impl Candidate {
    /// Returns true if the engine takes a prompt now.
    pub(super) fn free(&self) -> bool {
        self.free
    }
}

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
    /// Prompt tokens that are not cached there.
    pub(super) work: u32,
    /// Expected duration of the prefill in microseconds.
    pub(super) time: u64,
    /// True if the engine takes the prompt now.
    pub(super) free: bool,
}

impl Scheduler {
    /// Returns true if some prefill engine takes a prompt now.
    pub(super) fn any_prefill(&self, now: Time) -> bool {
        self.fleet.slots.iter().any(|s| takes_prompt(s, now))
    }

    /// Returns the open prefill engines.
    pub(super) fn survey(&self, now: Time) -> Candidates {
        let reserve = [Class::Interactive, Class::Patient].map(|c| self.reserve(now, c));
        let slots = self.fleet.slots.iter().enumerate();
        let open = slots.filter(|(_, s)| s.prefills_prompts() && s.open(now));
        let candidate = |(index, slot): (usize, &Slot)| {
            // An engine of both roles must have a slot itself.
            let both = slot.engine.role == Role::Both;
            let blocked = |reserve: u32| both && slot.free() <= reserve;
            let next = |reserve| {
                if blocked(reserve) {
                    self.estimates.next_slot(slot.used)
                } else {
                    0
                }
            };
            Candidate {
                index,
                wait: micros(slot.busy(now)),
                slot: reserve.map(next),
                free: takes_prompt(slot, now),
                full: self.prefixes.full(index),
            }
        };
        open.map(candidate).collect()
    }

    /// Lets later jobs see that an earlier one waits for its engine.
    pub(super) fn plan(engines: &mut Candidates, choice: &Choice) {
        if let Some(engine) = engines.iter_mut().find(|e| e.index == choice.prefill) {
            engine.wait += choice.time;
            engine.free = false;
        }
    }

    fn find(&self, now: Time, prefix: &[u64], engines: usize) -> Found {
        let matches = self.prefixes.matches(prefix);
        let open = |i: &usize| self.fleet.slots[*i].open(now);
        Found {
            held: matches.iter().copied().max().unwrap_or(0),
            matches,
            home: self.homes.of(prefix).filter(open),
            engines,
        }
    }

    /// Returns the engine on which a job should run, or `None` if none is open.
    pub(super) fn place(&self, now: Time, entry: &Entry, engines: &Candidates) -> Option<Choice> {
        let found = self.find(now, &entry.job.prefix, engines.len());
        let mut best: Option<(u64, Choice)> = None;
        let class = entry.job.class as usize;
        for engine in engines {
            let choice = self.rate(entry, engine, &found);
            let score = engine.wait
                + engine.slot[class]
                + choice.time
                + self.eviction_cost(engine, &found, &choice);
            let better = match &best {
                None => true,
                Some((least, _)) if score != *least => score < *least,
                Some((_, other)) => self.preferred(entry, choice.prefill, other.prefill),
            };
            if better {
                best = Some((score, choice));
            }
        }
        best.map(|(_, choice)| choice)
    }

    /// Tells equal engines apart by rendezvous, so that a new prefix finds the same one again.
    fn preferred(&self, entry: &Entry, one: usize, other: usize) -> bool {
        let key = entry.job.prefix.first().copied().unwrap_or_default();
        let name = |i: usize| self.fleet.slots[i].engine.name.as_str();
        rendezvous_score(key, name(one)) > rendezvous_score(key, name(other))
    }

    /// Returns what a job costs on one engine.
    fn rate(&self, entry: &Entry, engine: &Candidate, found: &Found) -> Choice {
        let blocks = u32::from(found.own(engine.index));
        let cached = blocks * self.options.block_tokens;
        let work = entry.job.prompt_tokens.saturating_sub(cached);
        Choice {
            prefill: engine.index,
            work,
            time: self.estimates.prefill_micros(work),
            free: engine.free && engine.slot[entry.job.class as usize] == 0,
        }
    }

    /// Returns what a prompt on this engine costs the prefixes of others.
    ///
    /// A further copy evicts as many blocks, which have to be computed again; so does a prefix
    /// away from its home. A cache that is not full evicts nothing.
    fn eviction_cost(&self, engine: &Candidate, found: &Found, choice: &Choice) -> u64 {
        if !engine.full {
            return 0;
        }
        let own = found.own(engine.index);
        let copied = u32::from(found.held.saturating_sub(own));
        let copy = self.estimates.micros(copied * self.options.block_tokens);
        let astray = match found.home {
            Some(home) => home != engine.index && own == 0,
            None => self.homes.crowded(engine.index, found.engines),
        };
        if astray { copy.max(choice.time) } else { copy }
    }

    /// Returns the engine whose slot a prefill on `prefill` of `time` may count on.
    ///
    /// Beside free slots, those count that running streams will free in time: before the result
    /// is evicted, and before the job's own deadline.
    pub(super) fn slot_for(&self, now: Time, entry: &Entry, choice: &Choice) -> Option<usize> {
        let class = entry.job.class;
        let source = &self.fleet.slots[choice.prefill];
        if source.engine.role == Role::Both {
            return Some(choice.prefill);
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
        let time = Duration::from_micros(choice.time);
        let end = now + time + self.estimates.transfer(self.bytes(entry));
        let slack = entry.job.deadline.since(end).mul_f64(SLACK_SHARE);
        let patience = self.options.prefill_ttl.mul_f64(READY_SHARE).min(slack);
        let horizon = time + patience;
        let freed = self.estimates.freed(streams, horizon);
        let fits = taken + self.reserve(now, class) < total + freed;
        let emptiest =
            open().max_by_key(|(i, s)| (s.free(), u32::MAX - s.reserved, usize::MAX - i));
        emptiest.map(|(index, _)| index).filter(|_| fits)
    }

    /// Returns true if the link has room for the job's result.
    pub(super) fn link_fits(&self, now: Time, entry: &Entry, choice: &Choice) -> bool {
        let slot = &self.fleet.slots[choice.prefill];
        if slot.engine.role == Role::Both {
            return true;
        }
        let limits = LinkLimits {
            rate: self.options.link_rate,
            ttl: self.options.prefill_ttl,
        };
        let ready = now + slot.busy(now) + Duration::from_micros(choice.time);
        let (from, bytes) = (&slot.engine.data_centre, self.bytes(entry));
        self.links.fits(now, from, ready, bytes, limits)
    }

    /// Returns the free slot of any open engine for a finished prefill, the reserved one first.
    pub(super) fn slot_now(&self, now: Time, source: usize, reserved: usize) -> Option<usize> {
        let has_room = |s: &Slot| s.used + s.foreign < s.engine.slots && s.decodes();
        let first = &self.fleet.slots[reserved];
        let kept = source == reserved || first.takes_reserved(now);
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

impl Found {
    /// Returns the leading blocks that an engine holds.
    fn own(&self, engine: usize) -> u16 {
        self.matches.get(engine).copied().unwrap_or(0)
    }
}

fn micros(time: Duration) -> u64 {
    u64::try_from(time.as_micros()).unwrap_or(u64::MAX)
}

/// Returns true if the engine takes a prompt now.
fn takes_prompt(slot: &Slot, now: Time) -> bool {
    let soon = slot.busy(now) <= LOOKAHEAD;
    let room = slot.prefills.len() < MAX_PREFILLS && slot.full_until <= now;
    slot.open(now) && slot.prefills_prompts() && soon && room
}
