//! Calls of fake upstreams: prefills, streams and plain calls.

use std::time::Duration;

use coord::name::Upstream;
use coord::sched::{CacheEvent, PrefillUsage};

use crate::caller::token;
use crate::engine::{Call, CallId, Held, Reply, Work};
use crate::world::{HOP, World};

/// How long a prefill's result is kept without an import.
const RESULT_TTL: Duration = Duration::from_millis(800);

/// Prefills that an engine takes at once.
const PREFILLS: usize = 4;

/// Prompt tokens computed in a second.
const PREFILL_RATE: f64 = 40_000.0;

/// Bytes of KV cache of a token, and bytes a second of a link.
const TOKEN_BYTES: f64 = 70_000.0;
const LINK_RATE: f64 = 10_000_000_000.0;

/// The time after which an engine dies of a poison request.
const POISON: Duration = Duration::from_millis(20);

impl World {
    /// Sends a call after the delay of the upstream's connections.
    pub fn start_call(&mut self, call: Call, run: impl FnOnce(&mut World, Call) + 'static) {
        let delay = self
            .engines
            .get(&call.to)
            .map_or(Duration::ZERO, |e| e.delay);
        self.after(delay, move |world| {
            let failed = call.clone();
            let unreached = move |world: &mut World| world.answer(&failed, Reply::Unreached);
            let (vm, to) = (call.vm, call.to.clone());
            world.call_engine(vm, &to, move |world| run(world, call), unreached);
        });
    }

    pub fn answer(&mut self, call: &Call, reply: Reply) {
        if self
            .net
            .cut(self.vms[call.vm].name.as_str(), call.to.as_str())
        {
            // A connection over a cut link stays silent after the link is back.
            if let Some(engine) = self.engines.get_mut(&call.to) {
                let held = [
                    engine.prefills.get_mut(&call.id),
                    engine.streams.get_mut(&call.id),
                ];
                held.into_iter()
                    .flatten()
                    .for_each(|held| held.silent = true);
            }
            return;
        }
        let (vm, life, call) = (call.vm, call.life, call.clone());
        self.after(HOP, move |world| {
            world.on_vm(vm, life, move |world| world.replied(vm, &call, &reply));
        });
    }

    fn work(&mut self, call: &Call, run: bool) {
        self.note(&format!(
            "{} accepts {} ({})",
            call.to, call.request, call.id.1
        ));
        self.works.push(Work {
            at: self.now,
            on: call.to.clone(),
            request: call.request.clone(),
            key: call.key.clone(),
            run,
        });
        if call.poison {
            let to = call.to.clone();
            self.after(POISON, move |world| world.kill_engine(&to));
        }
    }

    /// A prefill arrives at its engine.
    pub fn prefill(&mut self, call: Call) {
        let Some(engine) = self.engines.get_mut(&call.to) else {
            return;
        };
        if engine.is_cancelled(self.now, call.id) {
            return self.answer(&call, Reply::Cancelled);
        }
        if engine.prefills.len() >= PREFILLS {
            return self.answer(&call, Reply::Full);
        }
        let held = Held {
            call: call.clone(),
            silent: false,
            source: None,
        };
        engine.prefills.insert(call.id, held);
        let life = engine.life;
        self.work(&call, true);
        let span = Duration::from_secs_f64(f64::from(call.prompt) / PREFILL_RATE);
        self.after(span, move |world| world.prefill_done(&call, life));
    }

    fn prefill_done(&mut self, call: &Call, life: u32) {
        let Some(engine) = self.engines.get(&call.to).filter(|e| e.life == life) else {
            return;
        };
        let Some(held) = engine.prefills.get(&call.id) else {
            return;
        };
        let service = engine.service.clone();
        if !held.silent {
            let done = PrefillUsage {
                prompt_tokens: call.prompt,
                cached_tokens: 0,
            };
            self.answer(call, Reply::Prefilled(done));
        }
        let prefix = coord::hash::hash64(call.body.as_bytes());
        self.cache_event(&call.to, &service, CacheEvent::Stored(prefix));
        let (to, id) = (call.to.clone(), call.id);
        self.after(RESULT_TTL, move |world| {
            let engine = world.engines.get_mut(&to).filter(|e| e.life == life);
            engine.and_then(|engine| engine.prefills.remove(&id));
        });
    }

    /// A decode arrives at its engine.
    pub fn decode(&mut self, call: Call, source: (Upstream, CallId)) {
        let Some(engine) = self.engines.get(&call.to) else {
            return;
        };
        if engine.is_cancelled(self.now, call.id) {
            return self.answer(&call, Reply::Cancelled);
        }
        if engine.streams.len() >= engine.slots {
            return self.answer(&call, Reply::Full);
        }
        let from = self.engines.get(&source.0).filter(|engine| engine.up);
        if !from.is_some_and(|engine| engine.prefills.contains_key(&source.1)) {
            return self.answer(&call, Reply::Evicted);
        }
        let (stalled, life) = (engine.stalled, engine.life);
        self.work(&call, false);
        let held = Held {
            call: call.clone(),
            silent: false,
            source: Some(source),
        };
        if let Some(engine) = self.engines.get_mut(&call.to) {
            engine.streams.insert(call.id, held);
        }
        if !stalled {
            let span = f64::from(call.prompt) * TOKEN_BYTES / LINK_RATE;
            let first = call.offset;
            self.after(Duration::from_secs_f64(span), move |world| {
                world.step(&call, life, first);
            });
        }
    }

    /// A stream puts out its next token.
    fn step(&mut self, call: &Call, life: u32, index: u32) {
        let Some(engine) = self.engines.get_mut(&call.to).filter(|e| e.life == life) else {
            return;
        };
        let step = engine.step;
        let repeat = engine.output.repeat;
        let skip = std::mem::take(&mut engine.output.skip);
        let Some(held) = engine.streams.get_mut(&call.id) else {
            return;
        };
        let (silent, source) = (held.silent, held.source.take());
        if index >= call.tokens {
            engine.streams.remove(&call.id);
            if !silent {
                self.answer(call, Reply::Finish);
            }
            return;
        }
        if let Some((from, id)) = source
            && let Some(engine) = self.engines.get_mut(&from)
        {
            engine.prefills.remove(&id);
        }
        if !silent && !skip {
            for _ in 0..=u32::from(repeat) {
                self.answer(call, Reply::Token(index, token(&call.body, index)));
            }
        }
        let call = call.clone();
        self.after(step, move |world| world.step(&call, life, index + 1));
    }

    /// A plain call arrives.
    pub fn plain(&mut self, call: Call) {
        let Some(engine) = self.engines.get(&call.to) else {
            return;
        };
        let (life, takes) = (engine.life, engine.takes);
        self.work(&call, true);
        let held = Held {
            call: call.clone(),
            silent: false,
            source: None,
        };
        if let Some(engine) = self.engines.get_mut(&call.to) {
            engine.streams.insert(call.id, held);
        }
        self.after(takes, move |world| {
            let Some(engine) = world.engines.get_mut(&call.to).filter(|e| e.life == life) else {
                return;
            };
            if engine
                .streams
                .remove(&call.id)
                .is_some_and(|held| !held.silent)
            {
                world.answer(&call, Reply::Token(0, token(&call.body, 0)));
                world.answer(&call, Reply::Finish);
            }
        });
    }
}
