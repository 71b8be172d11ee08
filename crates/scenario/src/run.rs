//! Runs a scenario and checks its expectations and the requirements that always hold.

use std::time::Duration;

use coord::name::{Upstream, VmName};
use coord::time::Time;

use crate::ast::{Action, Expectation, Located, RequestSpec, Scenario, ServiceKind};
use crate::caller::{AnswerEnd, Caller};
use crate::parse::Diagnostic;
use crate::simulation::{HOP_LATENCY, Simulation};

/// The time between the boot of the fleet and time 0 of a scenario, in addition to the retention of
/// claims. A fleet that has just booted refuses once-only requests for the retention time.
const SETTLE_TIME: Duration = Duration::from_secs(10);

/// How long the simulation continues after the last statement, so that every request can end.
const DRAIN_TIME: Duration = Duration::from_secs(20);

/// The maximum number of trace lines in a report; older lines are dropped.
const MAX_TRACE_LINES: usize = 400;

/// The result of running a scenario.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RunReport {
    /// The expectations that were not met, with their lines, and the violated requirements.
    pub failures: Vec<Diagnostic>,
    /// The newest events of the run, for finding the cause of a failure.
    pub trace: Vec<String>,
}

/// Runs a scenario. The result is deterministic: the same scenario always has the same report.
#[must_use]
pub fn run(scenario: &Scenario) -> RunReport {
    let mut sim = Simulation::new(scenario.clone());
    let begin = sim.now + scenario.retention.mul_f64(1.05) + SETTLE_TIME;
    sim.run_until(begin);
    sim.trace.clear();
    for Located {
        item: (at, action), ..
    } in scenario.actions.clone()
    {
        sim.schedule(at, move |sim| sim.apply(action));
    }
    let mut timed: Vec<_> = scenario
        .expectations
        .iter()
        .filter_map(|e| Some((check_time(&e.item)?, e)))
        .collect();
    timed.sort_by_key(|(at, _)| *at);
    let mut failures = Vec::new();
    let mut end = scenario
        .actions
        .iter()
        .map(|action| action.item.0)
        .max()
        .unwrap_or_default();
    for (at, expectation) in timed {
        sim.run_until(begin + at);
        end = end.max(at);
        failures.extend(check(&sim, begin, expectation));
    }
    sim.run_until(begin + end + DRAIN_TIME);
    let rest = scenario
        .expectations
        .iter()
        .filter(|e| check_time(&e.item).is_none());
    for expectation in rest {
        failures.extend(check(&sim, begin, expectation));
    }
    failures.extend(check_invariants(&sim));
    failures.sort_by_key(|failure| failure.line);
    let lines = sim.trace.len().saturating_sub(MAX_TRACE_LINES);
    RunReport {
        failures,
        trace: sim.trace.split_off(lines),
    }
}

/// Returns the time at which an expectation is checked, or `None` for the end of the run.
fn check_time(expectation: &Expectation) -> Option<Duration> {
    match expectation {
        Expectation::HeldZero(by)
        | Expectation::Revision { by, .. }
        | Expectation::Exited { by, .. } => Some(*by),
        _ => None,
    }
}

fn check(sim: &Simulation, begin: Time, expectation: &Located<Expectation>) -> Option<Diagnostic> {
    let message = match &expectation.item {
        Expectation::Answered(name) => check_answered(sim, name),
        Expectation::Refused { name, not_run } => check_refused(sim, name, *not_run),
        Expectation::Closed(name) => check_closed(sim, name),
        Expectation::Ended(name) => check_ended(sim, name),
        Expectation::Runs { name, max_runs } => {
            let found = count_runs(sim, name);
            (found > *max_runs)
                .then(|| format!("expected {name} to run at most {max_runs} times, found {found}"))
        }
        Expectation::HeldZero(_) => check_held_zero(sim),
        Expectation::Revision { number, name, .. } => check_revision(sim, name, *number),
        Expectation::NoWork { on, after } => check_no_work(sim, on, begin + *after),
        Expectation::Exited { vm, .. } => {
            let vm = sim.vms.iter().find(|known| known.name.as_str() == vm)?;
            vm.up
                .then(|| format!("expected {} to have exited, found it running", vm.name))
        }
    };
    let file = sim.scenario.file.clone();
    message.map(|message| Diagnostic {
        file,
        line: expectation.line,
        message,
    })
}

fn ending(caller: &Caller) -> String {
    let end = match (caller.endings.as_slice(), caller.closed) {
        ([], true) => "a closed connection".to_owned(),
        ([], false) => "no answer".to_owned(),
        (endings, _) => format!("{endings:?}"),
    };
    format!("{end} after {} tokens", caller.tokens.len())
}

fn is_model(sim: &Simulation, caller: &Caller) -> bool {
    let mut services = sim.scenario.services.iter();
    let def = services.find(|def| def.name == caller.spec.service);
    def.is_some_and(|def| matches!(def.kind, ServiceKind::Model { .. }))
}

fn check_answered(sim: &Simulation, name: &str) -> Option<String> {
    let Some(caller) = sim.callers.get(name) else {
        return Some(format!("expected an answer to {name}, which was not sent"));
    };
    let met = caller.endings == [AnswerEnd::Complete] && caller.is_complete(is_model(sim, caller));
    (!met).then(|| {
        format!(
            "expected {name} to be answered completely and exactly once, found {}",
            ending(caller)
        )
    })
}

fn check_refused(sim: &Simulation, name: &str, not_run: bool) -> Option<String> {
    let (wanted, kind) = if not_run {
        (AnswerEnd::NotRun, "not-run")
    } else {
        (AnswerEnd::Unknown, "unknown")
    };
    let caller = sim.callers.get(name)?;
    let met = caller.endings == [wanted];
    (!met).then(|| format!("expected {name} refused {kind}, found {}", ending(caller)))
}

fn check_closed(sim: &Simulation, name: &str) -> Option<String> {
    let caller = sim.callers.get(name)?;
    let met = caller.closed && caller.endings.is_empty();
    (!met).then(|| {
        format!(
            "expected the connection of {name} to be closed without an answer, found {}",
            ending(caller)
        )
    })
}

fn check_ended(sim: &Simulation, name: &str) -> Option<String> {
    let caller = sim.callers.get(name)?;
    let met = caller.endings.len() == 1;
    (!met).then(|| format!("expected one answer to {name}, found {}", ending(caller)))
}

/// Counts the runs of a request. Requests with the same idempotency key count as one.
fn count_runs(sim: &Simulation, name: &str) -> u32 {
    let key = sim
        .callers
        .get(name)
        .and_then(|caller| caller.spec.key.as_ref());
    let own = sim.accepted_work.iter().filter(|work| work.is_run);
    let own = own.filter(|work| match key {
        Some(key) => work.key.as_ref() == Some(key),
        None => work.request == name,
    });
    u32::try_from(own.count()).unwrap_or(u32::MAX)
}

fn check_held_zero(sim: &Simulation) -> Option<String> {
    let up = sim.engines.iter().filter(|(_, engine)| engine.up);
    let held = up.map(|(name, engine)| (name, engine.held_jobs().len()));
    let held: Vec<_> = held.filter(|(_, count)| *count > 0).collect();
    let list: Vec<_> = held
        .iter()
        .map(|(name, count)| format!("{name} {count}"))
        .collect();
    (!held.is_empty()).then(|| format!("expected no held engine memory, found {}", list.join(", ")))
}

fn check_revision(sim: &Simulation, name: &str, number: usize) -> Option<String> {
    let Some(document) = sim.platform.publication(name, number) else {
        return Some(format!(
            "expected at least {number} publications of {name}, found fewer"
        ));
    };
    let wanted = document.text.as_ref().map(|_| document.revision);
    for vm in sim.vms.iter().filter(|vm| vm.up && !vm.paused) {
        let Some(state) = &vm.state else {
            continue;
        };
        let found = state.config.store().get(name).map(|(revision, _)| revision);
        if found != wanted {
            let place = format!("on {} revision {found:?}", vm.name);
            return Some(format!(
                "expected revision {wanted:?} of {name} on every VM, found {place}"
            ));
        }
    }
    None
}

fn check_no_work(sim: &Simulation, on: &str, after: Time) -> Option<String> {
    let mut accepted_work = sim.accepted_work.iter();
    let late_work = accepted_work.find(|work| work.upstream.as_str() == on && work.time > after)?;
    let span = late_work.time.since(after);
    Some(format!(
        "expected no new work on {on}, found {} {span:?} later",
        late_work.request
    ))
}

/// Checks the requirements that hold in every scenario. Failures are reported at line 1.
fn check_invariants(sim: &Simulation) -> Vec<Diagnostic> {
    let mut violations = sim.violations.clone();
    for (name, caller) in &sim.callers {
        if caller.endings.len() > 1 {
            violations.push(format!(
                "H2: {name} was answered {} times",
                caller.endings.len()
            ));
        }
        if !caller.is_prefix() {
            violations.push(format!(
                "H3: {name} received tokens that are not its answer"
            ));
        }
        if caller.endings == [AnswerEnd::Complete] && !caller.is_complete(is_model(sim, caller)) {
            violations.push(format!("H3: {name} got a partial answer as complete"));
        }
        let own = sim
            .accepted_work
            .iter()
            .filter(|work| work.is_run && work.request == *name)
            .count();
        if caller.endings == [AnswerEnd::NotRun] && own > 0 {
            violations.push(format!(
                "H4: {name} was refused as not-run but ran {own} times"
            ));
        }
        let mut services = sim.scenario.services.iter();
        let once = services.any(|def| def.once && def.name == caller.spec.service);
        let count = if once { count_runs(sim, name) } else { 0 };
        if count > 1 {
            violations.push(format!("H5: {name} is once-only but ran {count} times"));
        }
    }
    let file = &sim.scenario.file;
    let failures = violations.into_iter();
    failures
        .map(|message| Diagnostic {
            file: file.clone(),
            line: 1,
            message,
        })
        .collect()
}

impl Simulation {
    fn apply(&mut self, action: Action) {
        self.add_trace(&format!("{action:?}"));
        match action {
            Action::Send(spec) => {
                let body = spec.name.clone();
                self.send_request(spec, body);
            }
            Action::Resend(old, vm, name) => {
                if let Some(caller) = self.callers.get(&old) {
                    let (spec, body) = (caller.spec.clone(), caller.body.clone());
                    self.send_request(RequestSpec { name, vm, ..spec }, body);
                }
            }
            Action::Cancel(name) => self.close_caller(&name),
            Action::Silence(name) => match self.callers.get_mut(&name) {
                Some(caller) => caller.silent = true,
                None => self.for_engine(&name, crate::engine::Engine::silence),
            },
            Action::Kill(name) => match self.vm_named(&name) {
                Some(vm) => self.kill_vm(vm),
                None => self.kill_engine(&name.as_str().into()),
            },
            Action::Start(name) => match self.vm_named(&name) {
                Some(vm) => self.start_vm(vm),
                None => self.set_listed_state(&name, "live"),
            },
            Action::Pause(name) => self.for_vm(&name, |sim, i| sim.vms[i].paused = sim.vms[i].up),
            Action::Wake(name) => self.for_vm(&name, Simulation::resume_vm),
            Action::Stop(name) => self.for_vm(&name, Simulation::stop_vm),
            Action::Partition(left, right) => {
                let left = left.into_iter().map(|name| (name, 0));
                self.net.sides = left
                    .chain(right.into_iter().map(|name| (name, 1)))
                    .collect();
            }
            Action::Heal => self.net.sides.clear(),
            Action::Network {
                loss_percent,
                late_percent,
                double_percent,
            } => {
                let probability = |percent: u32| f64::from(percent) / 100.0;
                self.net.loss_probability = probability(loss_percent);
                self.net.late_probability = probability(late_percent);
                self.net.duplicate_probability = probability(double_percent);
            }
            Action::Delay(name, time) => self.for_engine(&name, |engine| engine.delay = time),
            Action::LoseCancels(name, count) => self.for_engine(&name, |e| e.lose_cancels = count),
            Action::RepeatTokens(name) => self.for_engine(&name, |e| e.faults.repeat_tokens = true),
            Action::SkipToken(name) => self.for_engine(&name, |e| e.faults.skip_next = true),
            Action::Events(mode) => self.event_mode = mode,
            Action::Configuration(mode) => self.platform.set_mode(mode),
            Action::Publish(name, text) => self.publish(&name, Some(&text)),
            Action::Delete(name) => self.publish(&name, None),
            Action::Leave(name) => self.set_listed_state(&name, "leaving"),
            Action::Return(name) => self.set_listed_state(&name, "live"),
            Action::ListLag(name, lag) => self.for_vm(&name, |sim, vm| sim.vms[vm].list_lag = lag),
            Action::Unlist(name) => self.platform.change_list(self.now, |list| {
                list.vms.remove(&VmName::from(name.as_str()));
            }),
            Action::Stall(name) => self.for_engine(&name, |engine| engine.stalled = true),
            Action::Unstall(name) => self.for_engine(&name, |engine| engine.stalled = false),
        }
    }

    fn vm_named(&self, name: &str) -> Option<usize> {
        self.vm_index(&VmName::from(name))
    }

    fn for_vm(&mut self, name: &str, action: impl FnOnce(&mut Self, usize)) {
        if let Some(vm) = self.vm_named(name) {
            action(self, vm);
        }
    }

    fn for_engine(&mut self, name: &str, action: impl FnOnce(&mut crate::engine::Engine)) {
        if let Some(engine) = self.engines.get_mut(&Upstream::from(name)) {
            action(engine);
        }
    }

    fn send_request(&mut self, spec: RequestSpec, body: String) {
        let Some(vm) = self.vm_named(&spec.vm) else {
            return;
        };
        let (name, generation, up) = (spec.name.clone(), self.vms[vm].generation, self.vms[vm].up);
        let caller = Caller {
            spec,
            body,
            vm,
            generation,
            tokens: Vec::new(),
            endings: Vec::new(),
            closed: !up,
            silent: false,
        };
        self.callers.insert(name.clone(), caller);
        self.schedule(HOP_LATENCY, move |sim| {
            sim.run_on_vm(vm, generation, move |sim| sim.admit(vm, &name));
        });
    }

    fn close_caller(&mut self, name: &str) {
        let Some(caller) = self.callers.get_mut(name) else {
            return;
        };
        caller.closed |= caller.endings.is_empty();
        let (vm, generation, name) = (caller.vm, caller.generation, name.to_owned());
        self.schedule(HOP_LATENCY, move |sim| {
            sim.run_on_vm(vm, generation, move |sim| sim.on_disconnect(vm, &name));
        });
    }
}
