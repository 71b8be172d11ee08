//! Checks that a scenario names only what it defines.

use std::collections::BTreeSet;

use crate::ast::{Act, Expect, Kind, Scenario, ServiceDef};
use crate::parse::{Fault, doubled};

/// Returns the name of the VM with this number, from 0.
#[must_use]
pub fn vm(number: usize) -> String {
    format!("vm-{}", number + 1)
}

/// Returns the names of a service's upstreams.
pub fn upstreams(service: &ServiceDef) -> impl Iterator<Item = String> {
    let count = match service.kind {
        Kind::Model {
            prefill, decode, ..
        } => prefill + decode,
        Kind::Plain { upstreams, .. } => upstreams,
    };
    (1..=count).map(|number| format!("{}-{number}", service.name))
}

struct Names {
    vms: BTreeSet<String>,
    upstreams: BTreeSet<String>,
    services: BTreeSet<String>,
    requests: BTreeSet<String>,
}

impl Names {
    fn of(scenario: &Scenario) -> Self {
        Self {
            vms: (0..scenario.vms).map(vm).collect(),
            upstreams: scenario.services.iter().flat_map(upstreams).collect(),
            services: scenario.services.iter().map(|s| s.name.clone()).collect(),
            requests: requests(scenario).map(str::to_owned).collect(),
        }
    }

    fn unknown(&self, act: &Act) -> Option<String> {
        let vm = |name: &str| missing("VM", &self.vms, name);
        let upstream = |name: &str| missing("upstream", &self.upstreams, name);
        let request = |name: &str| missing("request", &self.requests, name);
        let process = |name: &str| {
            if self.vms.contains(name) {
                None
            } else {
                upstream(name)
            }
        };
        match act {
            Act::Send(send) => vm(&send.vm).or(missing("service", &self.services, &send.service)),
            Act::Resend(old, to, _) => vm(to).or(request(old)),
            Act::Cancel(name) => request(name),
            Act::Silence(name) if self.requests.contains(name) => None,
            Act::Kill(name) | Act::Start(name) => process(name),
            Act::Pause(name) | Act::Wake(name) | Act::Stop(name) | Act::ListLag(name, _) => {
                vm(name)
            }
            Act::Partition(left, right) => left.iter().chain(right).find_map(|name| process(name)),
            Act::Silence(name)
            | Act::Delay(name, _)
            | Act::LoseCancels(name, _)
            | Act::RepeatTokens(name)
            | Act::SkipToken(name)
            | Act::Leave(name)
            | Act::Return(name)
            | Act::Stall(name)
            | Act::Unstall(name) => upstream(name),
            _ => None,
        }
    }

    fn unknown_outcome(&self, expect: &Expect) -> Option<String> {
        match expect {
            Expect::Answered(name)
            | Expect::Closed(name)
            | Expect::Ended(name)
            | Expect::Refused { name, .. }
            | Expect::Runs { name, .. } => missing("request", &self.requests, name),
            Expect::NoWork { on, .. } => missing("upstream", &self.upstreams, on),
            Expect::Exited { vm, .. } => missing("VM", &self.vms, vm),
            Expect::HeldZero(_) | Expect::Revision { .. } => None,
        }
    }
}

fn requests(scenario: &Scenario) -> impl Iterator<Item = &str> {
    scenario.acts.iter().filter_map(|act| match &act.item.1 {
        Act::Send(send) => Some(send.name.as_str()),
        Act::Resend(_, _, new) => Some(new.as_str()),
        _ => None,
    })
}

fn missing(kind: &str, names: &BTreeSet<String>, name: &str) -> Option<String> {
    (!names.contains(name)).then(|| format!("expected an existing {kind}, found `{name}`"))
}

/// Adds a fault for every name that is not defined.
pub fn check(scenario: &Scenario, faults: &mut Vec<Fault>) {
    let names = Names::of(scenario);
    let mut add = |line, text| {
        let file = scenario.file.clone();
        faults.push(Fault { file, line, text });
    };
    for act in &scenario.acts {
        if let Some(text) = names.unknown(&act.item.1) {
            add(act.line, text);
        }
    }
    for expect in &scenario.expects {
        if let Some(text) = names.unknown_outcome(&expect.item) {
            add(expect.line, text);
        }
    }
    let services = scenario.services.iter().map(|s| s.name.as_str());
    for name in [doubled(requests(scenario)), doubled(services)]
        .into_iter()
        .flatten()
    {
        add(1, format!("expected different names, found `{name}` twice"));
    }
    if scenario.expects.is_empty() {
        add(1, "expected at least one `expect` statement".to_owned());
    }
    if scenario.requirements.is_empty() {
        add(1, "expected `requirement ID`".to_owned());
    }
}
