//! Allowances of organisations.
//!
//! [`coord::limit::AllowanceTable`] decides. This module feeds it with the configuration and with requests, and tells
//! operators which organisations are limited.

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};

use border::{AllowanceUnit, OrganisationDef, Prompt, Routing};
use coord::hash::hash64;
use coord::limit::{AllowanceTerms, OrganisationKey, Verdict};
use coord::time::Time;
use rand::RngExt;

use crate::gateway::callers::answer::{Reason, Refusal};
use crate::gateway::context::{Context, State};

fn organisation_key(def: &OrganisationDef) -> OrganisationKey {
    hash64(def.name.as_str().as_bytes())
}

/// Puts the allowances of a version of the configuration in force.
pub fn set(state: &mut State, now: Time, routing: &Routing) {
    let all = routing.organisations.iter().flatten();
    let allowances = all.filter_map(|def| {
        let allowance = def.allowance?;
        let terms = AllowanceTerms {
            rate: allowance.rate,
            burst: allowance.burst,
        };
        Some((organisation_key(def), terms))
    });
    state.allowances.set(now, allowances);
}

/// Returns the units of a request.
fn units(unit: AllowanceUnit, prompt: Option<Prompt>) -> u64 {
    match (unit, prompt) {
        (AllowanceUnit::Requests, _) => 1,
        (AllowanceUnit::Tokens { .. }, Some(prompt)) => {
            u64::from(prompt.tokens) + u64::from(prompt.output_limit)
        }
        (AllowanceUnit::Tokens { unsized_request }, None) => unsized_request.into(),
    }
}

/// Takes the units of a request from the allowance of its organisation, if there is one.
///
/// # Errors
///
/// Returns the refusal if the allowance is used up.
pub fn charge(
    ctx: &Arc<Context>,
    def: &OrganisationDef,
    prompt: Option<Prompt>,
) -> Result<Option<Charge>, Refusal> {
    let Some(allowance) = def.allowance else {
        return Ok(None);
    };
    let organisation = organisation_key(def);
    let units = units(allowance.unit, prompt);
    let now = ctx.now();
    let verdict = {
        let mut state = ctx.state();
        let random = state.rng.random_range(0.0..1.0);
        state.allowances.ask(now, organisation, units, random)
    };
    match verdict {
        Verdict::Admit => {
            ctx.telemetry.add("allowance.admitted", units);
            Ok(Some(Charge {
                ctx: Arc::clone(ctx),
                organisation,
                units,
                kept: AtomicBool::new(false),
            }))
        }
        Verdict::Refuse(time) => {
            ctx.telemetry.add("allowance.refused", units);
            Err(Refusal::until(Reason::OverAllowance, time))
        }
    }
}

/// The units that an admitted request takes. Dropping it gives them back, unless the request was sent.
pub struct Charge {
    ctx: Arc<Context>,
    organisation: OrganisationKey,
    units: u64,
    kept: AtomicBool,
}

impl Charge {
    /// Records that the request may have reached an upstream.
    pub fn keep(&self) {
        self.kept.store(true, Ordering::Relaxed);
    }
}

impl Drop for Charge {
    fn drop(&mut self) {
        if self.kept.load(Ordering::Relaxed) {
            return;
        }
        let now = self.ctx.now();
        let mut state = self.ctx.state();
        let allowances = &mut state.allowances;
        allowances.give_back(now, self.organisation, self.units);
        drop(state);
        self.ctx.telemetry.add("allowance.returned", self.units);
    }
}

/// Logs which organisations have begun and ceased to be limited, and counts those that are.
pub fn record_limited(ctx: &Context) {
    let now = ctx.now();
    let (changed, count, routing) = {
        let mut state = ctx.state();
        let changed = state.allowances.expire(now);
        let count = state.allowances.limited_count();
        (changed, count, state.routing.clone())
    };
    if changed.is_empty() {
        return;
    }
    let count = u64::try_from(count).unwrap_or(u64::MAX);
    ctx.telemetry.gauge("allowance.limited", count);
    for (key, limited) in changed {
        let all = routing.iter().flat_map(|routing| &routing.organisations);
        let mut all = all.flatten();
        let Some(def) = all.find(|def| organisation_key(def) == key) else {
            continue;
        };
        let organisation = def.name.as_str();
        let allowance = def.allowance.map_or(0.0, |allowance| allowance.rate);
        if limited {
            log::info!(organisation, allowance; "organisation limited");
        } else {
            log::info!(organisation, allowance; "organisation no longer limited");
        }
    }
}
