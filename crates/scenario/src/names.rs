//! Checks that a scenario names only what it defines.

use std::collections::BTreeSet;

use crate::ast::{Action, Expectation, Scenario, ServiceDef, ServiceKind};
use crate::parse::{Diagnostic, first_duplicate};

/// Returns the name of the VM with this number, from 0.
#[must_use]
pub fn vm_name(number: usize) -> String {
    format!("vm-{}", number + 1)
}

/// Returns the names of a service's upstreams.
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
        let vm = |name: &str| check_defined("VM", &self.vms, name);
        let upstream = |name: &str| check_defined("upstream", &self.upstreams, name);
        let request = |name: &str| check_defined("request", &self.requests, name);
        let process = |name: &str| {
            if self.vms.contains(name) {
                None
            } else {
                upstream(name)
            }
        };
        match action {
            Action::Send(send) => {
                vm(&send.vm).or(check_defined("service", &self.services, &send.service))
            }
            Action::Resend(old, to, _) => vm(to).or(request(old)),
            Action::Cancel(name) => request(name),
            Action::Silence(name) if self.requests.contains(name) => None,
            Action::Kill(name) | Action::Start(name) => process(name),
            Action::Pause(name)
            | Action::Wake(name)
            | Action::Stop(name)
            | Action::ListLag(name, _)
            | Action::Unlist(name) => vm(name),
            Action::Partition(left, right) => {
                left.iter().chain(right).find_map(|name| process(name))
            }
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
            | Expectation::Runs { name, .. } => check_defined("request", &self.requests, name),
            Expectation::NoWork { on, .. } => check_defined("upstream", &self.upstreams, on),
            Expectation::Exited { vm, .. } => check_defined("VM", &self.vms, vm),
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

fn check_defined(kind: &str, names: &BTreeSet<String>, name: &str) -> Option<String> {
    (!names.contains(name)).then(|| format!("expected an existing {kind}, found `{name}`"))
}

/// Adds a fault for every name that is not defined.
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
        add(1, format!("expected different names, found `{name}` twice"));
    }
    if scenario.expectations.is_empty() {
        add(1, "expected at least one `expect` statement".to_owned());
    }
    if scenario.requirements.is_empty() {
        add(1, "expected `requirement ID`".to_owned());
    }
}
