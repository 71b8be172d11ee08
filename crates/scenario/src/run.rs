//! Runs a scenario and checks its expectations.

use std::time::Duration;

use coord::name::{Upstream, VmName};
use coord::time::Time;

use crate::ast::{Act, Expect, Kind, Placed, Scenario, Send};
use crate::caller::{Caller, Last};
use crate::parse::Fault;
use crate::world::{HOP, World};

/// The time between the boot of the fleet and the instant 0 of a scenario, beyond the retention of
/// claims: a fleet that has just booted refuses once-only requests for the retention time.
const SETTLE: Duration = Duration::from_secs(10);

/// The time after the last statement for which the world goes on, so that every request can end.
const TAIL: Duration = Duration::from_secs(20);

/// The most lines of the trace that are kept with a verdict.
const TRACE: usize = 400;

/// How a scenario ended.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Verdict {
    /// What was not as expected, with the line of the expectation.
    pub faults: Vec<Fault>,
    /// What happened, to find the cause.
    pub trace: Vec<String>,
}

/// Runs a scenario; the same scenario always has the same verdict.
#[must_use]
pub fn run(scenario: &Scenario) -> Verdict {
    let mut world = World::new(scenario.clone());
    let begin = world.now + scenario.retention.mul_f64(1.05) + SETTLE;
    world.run_until(begin);
    world.trace.clear();
    for Placed {
        item: (at, act), ..
    } in scenario.acts.clone()
    {
        world.after(at, move |world| world.act(act));
    }
    let mut timed: Vec<_> = scenario
        .expects
        .iter()
        .filter_map(|e| Some((due(&e.item)?, e)))
        .collect();
    timed.sort_by_key(|(at, _)| *at);
    let mut faults = Vec::new();
    let mut end = scenario
        .acts
        .iter()
        .map(|act| act.item.0)
        .max()
        .unwrap_or_default();
    for (at, expect) in timed {
        world.run_until(begin + at);
        end = end.max(at);
        faults.extend(check(&world, begin, expect));
    }
    world.run_until(begin + end + TAIL);
    let rest = scenario.expects.iter().filter(|e| due(&e.item).is_none());
    for expect in rest {
        faults.extend(check(&world, begin, expect));
    }
    faults.extend(always(&world));
    faults.sort_by_key(|fault| fault.line);
    let lines = world.trace.len().saturating_sub(TRACE);
    Verdict {
        faults,
        trace: world.trace.split_off(lines),
    }
}

/// Returns the instant at which an expectation is checked, if it is not the end.
fn due(expect: &Expect) -> Option<Duration> {
    match expect {
        Expect::HeldZero(by) | Expect::Revision { by, .. } | Expect::Exited { by, .. } => Some(*by),
        _ => None,
    }
}

fn check(world: &World, begin: Time, expect: &Placed<Expect>) -> Option<Fault> {
    let text = match &expect.item {
        Expect::Answered(name) => answered(world, name),
        Expect::Refused { name, not_run } => refused(world, name, *not_run),
        Expect::Closed(name) => closed(world, name),
        Expect::Ended(name) => ended(world, name),
        Expect::Runs { name, most } => {
            let found = runs(world, name);
            (found > *most)
                .then(|| format!("expected {name} to run at most {most} times, found {found}"))
        }
        Expect::HeldZero(_) => held(world),
        Expect::Revision { number, name, .. } => revision(world, name, *number),
        Expect::NoWork { on, after } => no_work(world, on, begin + *after),
        Expect::Exited { vm, .. } => {
            let vm = world.vms.iter().find(|known| known.name.as_str() == vm)?;
            vm.up
                .then(|| format!("expected {} to have exited, found it running", vm.name))
        }
    };
    let file = world.scenario.file.clone();
    text.map(|text| Fault {
        file,
        line: expect.line,
        text,
    })
}

fn ending(caller: &Caller) -> String {
    let end = match (caller.last.as_slice(), caller.closed) {
        ([], true) => "a closed connection".to_owned(),
        ([], false) => "no answer".to_owned(),
        (last, _) => format!("{last:?}"),
    };
    format!("{end} after {} tokens", caller.tokens.len())
}

fn is_model(world: &World, caller: &Caller) -> bool {
    let mut services = world.scenario.services.iter();
    let def = services.find(|def| def.name == caller.send.service);
    def.is_some_and(|def| matches!(def.kind, Kind::Model { .. }))
}

fn answered(world: &World, name: &str) -> Option<String> {
    let Some(caller) = world.callers.get(name) else {
        return Some(format!("expected an answer to {name}, which was not sent"));
    };
    let met = caller.last == [Last::Whole] && caller.whole(is_model(world, caller));
    (!met).then(|| {
        format!(
            "expected {name} answered once and whole, found {}",
            ending(caller)
        )
    })
}

fn refused(world: &World, name: &str, not_run: bool) -> Option<String> {
    let (wanted, kind) = if not_run {
        (Last::NotRun, "not-run")
    } else {
        (Last::Unknown, "unknown")
    };
    let caller = world.callers.get(name)?;
    let met = caller.last == [wanted];
    (!met).then(|| format!("expected {name} refused {kind}, found {}", ending(caller)))
}

fn closed(world: &World, name: &str) -> Option<String> {
    let caller = world.callers.get(name)?;
    let met = caller.closed && caller.last.is_empty();
    (!met).then(|| {
        format!(
            "expected {name} closed without an answer, found {}",
            ending(caller)
        )
    })
}

fn ended(world: &World, name: &str) -> Option<String> {
    let caller = world.callers.get(name)?;
    let met = caller.last.len() == 1;
    (!met).then(|| format!("expected one answer to {name}, found {}", ending(caller)))
}

/// Counts the runs of a request; requests with the same key are one.
fn runs(world: &World, name: &str) -> u32 {
    let key = world
        .callers
        .get(name)
        .and_then(|caller| caller.send.key.as_ref());
    let own = world.works.iter().filter(|work| work.run);
    let own = own.filter(|work| match key {
        Some(key) => work.key.as_ref() == Some(key),
        None => work.request == name,
    });
    u32::try_from(own.count()).unwrap_or(u32::MAX)
}

fn held(world: &World) -> Option<String> {
    let up = world.engines.iter().filter(|(_, engine)| engine.up);
    let held = up.map(|(name, engine)| (name, engine.held().len()));
    let held: Vec<_> = held.filter(|(_, count)| *count > 0).collect();
    let list: Vec<_> = held
        .iter()
        .map(|(name, count)| format!("{name} {count}"))
        .collect();
    (!held.is_empty()).then(|| format!("expected no held memory, found {}", list.join(", ")))
}

fn revision(world: &World, name: &str, number: usize) -> Option<String> {
    let Some(document) = world.platform.publication(name, number) else {
        return Some(format!(
            "expected publication {number} of {name}, found fewer"
        ));
    };
    let wanted = document.text.as_ref().map(|_| document.revision);
    for vm in world.vms.iter().filter(|vm| vm.up && !vm.paused) {
        let Some(state) = &vm.state else {
            continue;
        };
        let found = state.config.store().get(name).map(|(revision, _)| revision);
        if found != wanted {
            let place = format!("on {} revision {found:?}", vm.name);
            return Some(format!(
                "expected revision {wanted:?} of {name} everywhere, found {place}"
            ));
        }
    }
    None
}

fn no_work(world: &World, on: &str, after: Time) -> Option<String> {
    let mut works = world.works.iter();
    let late = works.find(|work| work.on.as_str() == on && work.at > after)?;
    let span = late.at.since(after);
    Some(format!(
        "expected no new work on {on}, found {} {span:?} later",
        late.request
    ))
}

/// Checks what holds in every scenario; the line is the first one.
fn always(world: &World) -> Vec<Fault> {
    let mut broken = world.broken.clone();
    for (name, caller) in &world.callers {
        if caller.last.len() > 1 {
            broken.push(format!(
                "H2: {name} was answered {} times",
                caller.last.len()
            ));
        }
        if !caller.beginning() {
            broken.push(format!(
                "H3: {name} received tokens that are not its answer"
            ));
        }
        if caller.last == [Last::Whole] && !caller.whole(is_model(world, caller)) {
            broken.push(format!("H3: {name} got a partial answer as complete"));
        }
        let own = world
            .works
            .iter()
            .filter(|work| work.run && work.request == *name)
            .count();
        if caller.last == [Last::NotRun] && own > 0 {
            broken.push(format!(
                "H4: {name} was refused as not-run but ran {own} times"
            ));
        }
        let mut services = world.scenario.services.iter();
        let once = services.any(|def| def.once && def.name == caller.send.service);
        let count = if once { runs(world, name) } else { 0 };
        if count > 1 {
            broken.push(format!("H5: {name} is once-only but ran {count} times"));
        }
    }
    let file = &world.scenario.file;
    let faults = broken.into_iter();
    faults
        .map(|text| Fault {
            file: file.clone(),
            line: 1,
            text,
        })
        .collect()
}

impl World {
    fn act(&mut self, act: Act) {
        self.note(&format!("{act:?}"));
        match act {
            Act::Send(send) => {
                let body = send.name.clone();
                self.send(send, body);
            }
            Act::Resend(old, vm, name) => {
                if let Some(caller) = self.callers.get(&old) {
                    let (send, body) = (caller.send.clone(), caller.body.clone());
                    self.send(Send { name, vm, ..send }, body);
                }
            }
            Act::Cancel(name) => self.close(&name),
            Act::Silence(name) => match self.callers.get_mut(&name) {
                Some(caller) => caller.silent = true,
                None => self.engine(&name, crate::engine::Engine::silence),
            },
            Act::Kill(name) => match self.vm_named(&name) {
                Some(vm) => self.kill_vm(vm),
                None => self.kill_engine(&name.as_str().into()),
            },
            Act::Start(name) => match self.vm_named(&name) {
                Some(vm) => self.start_vm(vm),
                None => self.list_engine(&name, "live"),
            },
            Act::Pause(name) => self.vm(&name, |world, vm| world.vms[vm].paused = world.vms[vm].up),
            Act::Wake(name) => self.vm(&name, World::wake_vm),
            Act::Stop(name) => self.vm(&name, World::stop_vm),
            Act::Partition(left, right) => {
                let left = left.into_iter().map(|name| (name, 0));
                self.net.sides = left
                    .chain(right.into_iter().map(|name| (name, 1)))
                    .collect();
            }
            Act::Heal => self.net.sides.clear(),
            Act::Network { loss, late, double } => {
                let share = |percent: u32| f64::from(percent) / 100.0;
                self.net.loss = share(loss);
                self.net.late = share(late);
                self.net.double = share(double);
            }
            Act::Delay(name, time) => self.engine(&name, |engine| engine.delay = time),
            Act::LoseCancels(name, count) => self.engine(&name, |e| e.lose_cancels = count),
            Act::RepeatTokens(name) => self.engine(&name, |engine| engine.output.repeat = true),
            Act::SkipToken(name) => self.engine(&name, |engine| engine.output.skip = true),
            Act::Events(events) => self.events = events,
            Act::Configuration(mode) => self.platform.set_mode(mode),
            Act::Publish(name, text) => self.publish(&name, Some(&text)),
            Act::Delete(name) => self.publish(&name, None),
            Act::Leave(name) => self.list_engine(&name, "leaving"),
            Act::Return(name) => self.list_engine(&name, "live"),
            Act::ListLag(name, lag) => self.vm(&name, |world, vm| world.vms[vm].list_lag = lag),
            Act::Stall(name) => self.engine(&name, |engine| engine.stalled = true),
            Act::Unstall(name) => self.engine(&name, |engine| engine.stalled = false),
        }
    }

    fn vm_named(&self, name: &str) -> Option<usize> {
        self.vm_number(&VmName::from(name))
    }

    fn vm(&mut self, name: &str, act: impl FnOnce(&mut Self, usize)) {
        if let Some(vm) = self.vm_named(name) {
            act(self, vm);
        }
    }

    fn engine(&mut self, name: &str, act: impl FnOnce(&mut crate::engine::Engine)) {
        if let Some(engine) = self.engines.get_mut(&Upstream::from(name)) {
            act(engine);
        }
    }

    fn send(&mut self, send: Send, body: String) {
        let Some(vm) = self.vm_named(&send.vm) else {
            return;
        };
        let (name, life, up) = (send.name.clone(), self.vms[vm].life, self.vms[vm].up);
        let caller = Caller {
            send,
            body,
            vm,
            life,
            tokens: Vec::new(),
            last: Vec::new(),
            closed: !up,
            silent: false,
        };
        self.callers.insert(name.clone(), caller);
        self.after(HOP, move |world| {
            world.on_vm(vm, life, move |world| world.admit(vm, &name));
        });
    }

    fn close(&mut self, name: &str) {
        let Some(caller) = self.callers.get_mut(name) else {
            return;
        };
        caller.closed |= caller.last.is_empty();
        let (vm, life, name) = (caller.vm, caller.life, name.to_owned());
        self.after(HOP, move |world| {
            world.on_vm(vm, life, move |world| world.caller_gone(vm, &name));
        });
    }
}
