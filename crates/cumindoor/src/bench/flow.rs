//! What engines do with the calls of the entry VMs, and the faults of a run.

use std::collections::BTreeSet;
use std::time::Duration;

use coord::name::{Upstream, VmName};
use coord::sched::{Action, Attempt, Failure, JobId, PrefillUsage, Stage};
use coord::time::Time;

use super::arrivals::number;
use super::case::TOKEN_BYTES;
use super::fake::{Prefill, RESULT_TTL, Stream};
use super::router::Input;
use super::sim::{CALLER_HOP, Event, HOP, LIST_LAG, Sim};

/// The VM that owns the cells in the fault `vm-dies`.
pub(super) const OWNER: u32 = 0;

impl Sim<'_> {
    /// Sends an engine's answer through the entry VM to the cell's owner.
    fn answer(&mut self, engine: usize, input: Input) {
        let cell = self.engines[engine].cell;
        self.after(HOP, Event::Router(cell, input));
    }

    pub(super) fn act(&mut self, action: Action) {
        match action {
            Action::StartPrefill {
                id,
                attempt,
                prefill,
                ..
            } => {
                let engine = self.names[&prefill];
                self.start_prefill(engine, id, attempt);
            }
            Action::StartDecode {
                id,
                attempt,
                decode,
                source,
            } => {
                let (source, decode) = (self.names[&source], self.names[&decode]);
                self.start_decode(source, decode, id, attempt);
            }
            Action::Cancel { id, upstream } => self.cancel(&upstream, id),
            Action::Refuse { .. } => {}
        }
    }

    fn start_prefill(&mut self, engine: usize, id: JobId, attempt: Attempt) {
        if self.tracks[number(id)].gone {
            return;
        }
        let fake = &mut self.engines[engine];
        if !fake.alive {
            self.answer(engine, Input::PrefillFailed(id, attempt, Failure::Lost));
        } else if fake.accept(id, attempt) {
            self.next_prefill(engine);
        } else {
            self.answer(engine, Input::PrefillFailed(id, attempt, Failure::Full));
        }
    }

    fn next_prefill(&mut self, engine: usize) {
        let fake = &mut self.engines[engine];
        if fake.running.is_some() {
            return;
        }
        let Some((id, attempt)) = fake.waiting.pop_front() else {
            return;
        };
        let request = &self.requests[number(id)];
        let prompt = request.prompt + self.tracks[number(id)].delivered;
        let blocks = fake.cache.matched(&request.prefix);
        let cached = blocks * self.case.cells[request.cell].options.block_tokens;
        let work = prompt.saturating_sub(cached);
        let time = fake.compute(work, request.prefill);
        fake.running = Some(Prefill {
            id,
            attempt,
            began: self.now,
            time,
            prompt,
            work,
        });
        let life = fake.life;
        self.after(time, Event::PrefillEnd(engine, life, id, attempt));
    }

    pub(super) fn prefill_end(&mut self, engine: usize, life: u32, id: JobId, attempt: Attempt) {
        let fake = &mut self.engines[engine];
        let current = fake.running.filter(|p| p.id == id && p.attempt == attempt);
        let (Some(done), true) = (current, fake.life == life) else {
            return;
        };
        fake.running = None;
        let expires = self.now + RESULT_TTL;
        fake.results.insert(id, expires);
        let events = fake.cache.store(&self.requests[number(id)].prefix);
        self.publish(engine, events);
        self.after(RESULT_TTL, Event::Evict(engine, life, id, expires));
        let track = &mut self.tracks[number(id)];
        let cached_tokens = done.prompt - done.work;
        track.prompt += u64::from(done.prompt);
        track.cached += u64::from(cached_tokens);
        track.wasted += std::mem::replace(&mut track.pending, u64::from(done.work));
        track.prefills += 1;
        let result = PrefillUsage {
            prompt_tokens: done.prompt,
            cached_tokens,
        };
        self.answer(engine, Input::PrefillDone(id, attempt, result));
        self.next_prefill(engine);
    }

    fn start_decode(&mut self, source: usize, decode: usize, id: JobId, attempt: Attempt) {
        if self.tracks[number(id)].gone {
            return;
        }
        let expires = self.engines[source].results.get(&id).copied();
        let fake = &self.engines[decode];
        let failure = match expires {
            _ if !fake.alive || !self.engines[source].alive => Some(Failure::Lost),
            None => Some(Failure::Evicted),
            Some(_) if !fake.has_slot() => Some(Failure::Full),
            Some(_) => None,
        };
        if let Some(failure) = failure {
            self.answer(decode, Input::DecodeFailed(id, attempt, failure, 0));
            return;
        }
        let index = number(id);
        let request = &self.requests[index];
        let stream = Stream {
            attempt,
            began: self.now,
            step: fake.step(request.step),
            tokens: request
                .output
                .saturating_sub(self.tracks[index].delivered)
                .max(1),
            delay: Duration::ZERO,
            started: false,
        };
        let life = fake.life;
        self.engines[decode].streams.insert(id, stream);
        let end = self.transfer(source, decode, request.prompt);
        let expires = expires.unwrap_or(end);
        if end <= expires {
            self.at(end, Event::ImportEnd(source, decode, life, id, attempt));
        } else {
            self.at(expires, Event::ImportFail(decode, life, id, attempt));
        }
    }

    /// Occupies the source's link, first come first served; returns the end of the transfer.
    fn transfer(&mut self, source: usize, decode: usize, prompt: u32) -> Time {
        if source == decode {
            return self.now;
        }
        let seconds = (u64::from(prompt) * TOKEN_BYTES) as f64 / self.case.link;
        let link = &mut self.links[self.engines[source].centre];
        *link = (*link).max(self.now) + Duration::from_secs_f64(seconds);
        *link
    }

    pub(super) fn import_end(
        &mut self,
        source: usize,
        engine: usize,
        life: u32,
        id: JobId,
        attempt: Attempt,
    ) {
        let fake = &mut self.engines[engine];
        let Some(stream) = fake.streams.get_mut(&id).filter(|s| s.attempt == attempt) else {
            return;
        };
        stream.started = true;
        stream.began = self.now + stream.step;
        let end = stream.began + stream.step * (stream.tokens - 1);
        let first = stream.began + CALLER_HOP;
        self.engines[source].results.remove(&id);
        let track = &mut self.tracks[number(id)];
        track.first = track.first.or(Some(first));
        track.used += std::mem::take(&mut track.pending);
        self.at(end, Event::StreamEnd(engine, life, id, attempt));
        self.answer(engine, Input::DecodeStarted(id, attempt));
    }

    pub(super) fn import_fail(&mut self, engine: usize, life: u32, id: JobId, attempt: Attempt) {
        let fake = &mut self.engines[engine];
        if fake.life == life && fake.streams.get(&id).is_some_and(|s| s.attempt == attempt) {
            fake.streams.remove(&id);
            self.answer(
                engine,
                Input::DecodeFailed(id, attempt, Failure::Evicted, 0),
            );
        }
    }

    pub(super) fn stream_end(&mut self, engine: usize, life: u32, id: JobId, attempt: Attempt) {
        let fake = &mut self.engines[engine];
        let Some(stream) = fake.streams.get_mut(&id).filter(|s| s.attempt == attempt) else {
            return;
        };
        let delay = std::mem::take(&mut stream.delay);
        if !delay.is_zero() {
            self.after(delay, Event::StreamEnd(engine, life, id, attempt));
            return;
        }
        fake.streams.remove(&id);
        let track = &mut self.tracks[number(id)];
        track.delivered = self.requests[number(id)].output;
        if !track.closed {
            track.end = Some(self.now + CALLER_HOP);
            track.closed = true;
            self.next_caller();
        }
        self.answer(engine, Input::Finished(id, attempt));
    }

    /// Drops a result that nobody has imported.
    pub(super) fn evict(&mut self, engine: usize, life: u32, id: JobId, expires: Time) {
        let fake = &mut self.engines[engine];
        if fake.life == life && fake.results.get(&id) == Some(&expires) {
            fake.results.remove(&id);
        }
    }

    fn cancel(&mut self, upstream: &Upstream, id: JobId) {
        let engine = self.names[upstream];
        let fake = &mut self.engines[engine];
        fake.waiting.retain(|(other, _)| *other != id);
        fake.results.remove(&id);
        fake.streams.remove(&id);
        if let Some(cut) = fake.running.take_if(|p| p.id == id) {
            let share = self.now.since(cut.began).as_secs_f64() / cut.time.as_secs_f64();
            self.tracks[number(id)].wasted += (f64::from(cut.work) * share) as u64;
        }
        self.next_prefill(engine);
    }

    pub(super) fn die(&mut self, engine: usize) {
        if let Some(cut) = self.engines[engine].running {
            let share = self.now.since(cut.began).as_secs_f64() / cut.time.as_secs_f64();
            self.tracks[number(cut.id)].wasted += (f64::from(cut.work) * share) as u64;
        }
        let (prefills, streams) = self.engines[engine].die();
        for (id, attempt) in prefills {
            self.answer(engine, Input::PrefillFailed(id, attempt, Failure::Lost));
        }
        for (id, stream) in streams {
            let delivered = stream.delivered(self.now);
            self.tracks[number(id)].delivered += delivered;
            self.answer(
                engine,
                Input::DecodeFailed(id, stream.attempt, Failure::Lost, delivered),
            );
        }
        let name = self.engines[engine].spec.name.clone();
        let cell = self.engines[engine].cell;
        self.after(LIST_LAG, Event::Router(cell, Input::Down(name)));
    }

    pub(super) fn revive(&mut self, engine: usize) {
        self.engines[engine].alive = true;
        let spec = self.engines[engine].spec.clone();
        let cell = self.engines[engine].cell;
        self.after(LIST_LAG, Event::Router(cell, Input::Up(spec)));
    }

    /// Ends the callers of the owner's VM; without an owner, messages wait.
    pub(super) fn owner_dies(&mut self) {
        for index in 0..self.requests.len() {
            let track = &mut self.tracks[index];
            let sent = track.sent > Time::ZERO && track.sent <= self.now;
            if self.requests[index].vm == OWNER && sent && !track.closed {
                track.gone = true;
                track.closed = true;
            }
        }
        if self.owned {
            self.held = Some(Vec::new());
        }
    }

    /// Lets the next owner take over: entry VMs register their work and send what they kept.
    pub(super) fn new_owner(&mut self) {
        let kept = self.held.take().unwrap_or_default();
        let mut again = BTreeSet::new();
        if self.owned {
            for cell in 0..self.routers.len() {
                self.routers[cell] = (self.spawn)(cell);
                self.routers[cell].handle(self.now, Input::TakeOver);
            }
            again = self.register();
        }
        let vm: VmName = format!("vm-{OWNER}").into();
        for cell in 0..self.routers.len() {
            self.route(cell, Input::VmDown(vm.clone()));
        }
        // Results of calls that were given up are not sent on: their jobs start anew.
        for (cell, input) in kept {
            if !input.result_of().is_some_and(|id| again.contains(&id)) {
                self.route(cell, input);
            }
        }
    }

    /// Returns the jobs that wait and are submitted again.
    fn register(&mut self) -> BTreeSet<JobId> {
        for engine in 0..self.engines.len() {
            if self.engines[engine].alive {
                let (cell, spec) = (self.engines[engine].cell, self.engines[engine].spec.clone());
                self.route(cell, Input::Up(spec));
            }
        }
        let mut waiting = Vec::new();
        for index in 0..self.requests.len() {
            let track = &self.tracks[index];
            if track.closed || track.sent == Time::ZERO || self.requests[index].vm == OWNER {
                continue;
            }
            let mut job = self.requests[index].job(self.case, index, track.sent);
            job.offset = track.delivered;
            let cell = self.requests[index].cell;
            job.prompt_tokens += track.delivered;
            match track.stage.clone().filter(|(_, s)| self.holds(s, job.id)) {
                Some((attempt, stage)) => self.route(cell, Input::Resume(job, attempt, stage)),
                None => waiting.push((cell, job)),
            }
        }
        let again = waiting.iter().map(|(_, job)| job.id).collect();
        for (cell, job) in waiting {
            self.route(cell, Input::Submit(job));
        }
        again
    }

    /// Returns true if the engine of a stage still works for the job.
    fn holds(&self, stage: &Stage, id: JobId) -> bool {
        match stage {
            Stage::Prefill { prefill, .. } => {
                let fake = &self.engines[self.names[prefill]];
                let running = fake.running.is_some_and(|p| p.id == id);
                let waiting = fake.waiting.iter().any(|(other, _)| *other == id);
                running || waiting || fake.results.contains_key(&id)
            }
            Stage::Decode { decode, .. } => {
                let fake = &self.engines[self.names[decode]];
                fake.streams.contains_key(&id)
            }
        }
    }
}
