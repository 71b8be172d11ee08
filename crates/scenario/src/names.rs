//! Checks that a scenario refers only to defined VMs, upstreams, services and requests.

use std::collections::BTreeSet;

use crate::ast::{Action, Expectation, Scenario, ServiceDef, ServiceKind};
use crate::parse::{Diagnostic, first_duplicate};

/// Returns the name of the VM with this index, which starts at 0.
#[must_use]
pub fn vm_name(index: usize) -> String {
    format!("vm-{}", index + 1)
}

/// Returns the names of the upstreams of a service, `NAME-1`, `NAME-2` and so on.
pub fn upstreams(service: &ServiceDef) -> impl Iterator<Item = String> {
    let count = match service.kind {
        ServiceKind::Model {
            prefill, decode, ..
        } => prefill + decode,
        ServiceKind::Plain { upstreams, .. } => upstreams,
    };
    (1..=count).map(|number| format!("{}-{number}", service.name))
}

struct DefinedNames {
    vms: BTreeSet<String>,
    upstreams: BTreeSet<String>,
    services: BTreeSet<String>,
    requests: BTreeSet<String>,
}

impl DefinedNames {
    fn from_scenario(scenario: &Scenario) -> Self {
        Self {
            vms: (0..scenario.vms).map(vm_name).collect(),
            upstreams: scenario.services.iter().flat_map(upstreams).collect(),
            services: scenario.services.iter().map(|s| s.name.clone()).collect(),
            requests: requests(scenario).map(str::to_owned).collect(),
        }
    }

    fn undefined_in_action(&self, action: &Action) -> Option<String> {
        let vm = |name: &str| undefined("VM", &self.vms, name);
        let upstream = |name: &str| undefined("upstream", &self.upstreams, name);
        let request = |name: &str| undefined("request", &self.requests, name);
        let process = |name: &str| {
            if self.vms.contains(name) {
                None
            } else {
                upstream(name)
            }
        };
        match action {
            Action::Send(s) => vm(&s.vm).or(undefined("service", &self.services, &s.service)),
            Action::Resend(old, to, _) => vm(to).or(request(old)),
            Action::Cancel(name) => request(name),
            Action::Silence(name) if self.requests.contains(name) => None,
            Action::Kill(name) | Action::Start(name) => process(name),
            Action::Pause(name)
            | Action::Wake(name)
            | Action::Stop(name)
            | Action::ListLag(name, _)
            | Action::Unlist(name) => vm(name),
            Action::Partition(left, right) => left.iter().chain(right).find_map(|n| process(n)),
            Action::Silence(name)
            | Action::Delay(name, _)
            | Action::LoseCancels(name, _)
            | Action::RepeatTokens(name)
            | Action::SkipToken(name)
            | Action::Leave(name)
            | Action::Return(name)
            | Action::Stall(name)
            | Action::Unstall(name) => upstream(name),
            _ => None,
        }
    }

    fn undefined_in_expectation(&self, expectation: &Expectation) -> Option<String> {
        match expectation {
            Expectation::Answered(name)
            | Expectation::Closed(name)
            | Expectation::Ended(name)
            | Expectation::Refused { name, .. }
            | Expectation::Runs { name, .. } => undefined("request", &self.requests, name),
            Expectation::NoWork { on, .. } => undefined("upstream", &self.upstreams, on),
            Expectation::Exited { vm, .. } => undefined("VM", &self.vms, vm),
            Expectation::HeldZero(_) | Expectation::Revision { .. } => None,
        }
    }
}

fn requests(scenario: &Scenario) -> impl Iterator<Item = &str> {
    scenario
        .actions
        .iter()
        .filter_map(|action| match &action.item.1 {
            Action::Send(send) => Some(send.name.as_str()),
            Action::Resend(_, _, new) => Some(new.as_str()),
            _ => None,
        })
}

fn undefined(kind: &str, names: &BTreeSet<String>, name: &str) -> Option<String> {
    (!names.contains(name)).then(|| format!("expected an existing {kind}, found `{name}`"))
}

/// Adds a diagnostic for the first undefined name of every statement, for the first duplicate name
/// of a request and of a service, and for a missing `expect` or `requirement` statement.
pub fn check(scenario: &Scenario, diagnostics: &mut Vec<Diagnostic>) {
    let names = DefinedNames::from_scenario(scenario);
    let mut add = |line, message| {
        let file = scenario.file.clone();
        diagnostics.push(Diagnostic {
            file,
            line,
            message,
        });
    };
    for action in &scenario.actions {
        if let Some(message) = names.undefined_in_action(&action.item.1) {
            add(action.line, message);
        }
    }
    for expectation in &scenario.expectations {
        if let Some(message) = names.undefined_in_expectation(&expectation.item) {
            add(expectation.line, message);
        }
    }
    let services = scenario.services.iter().map(|s| s.name.as_str());
    for name in [
        first_duplicate(requests(scenario)),
        first_duplicate(services),
    ]
    .into_iter()
    .flatten()
    {
        add(1, format!("expected unique names, found `{name}` twice"));
    }
    if scenario.expectations.is_empty() {
        add(1, "expected at least one `expect` statement".to_owned());
    }
    if scenario.requirements.is_empty() {
        add(1, "expected `requirement ID`".to_owned());
    }
}
