//! Conversion of a document into the specifications that the `serve` module uses.

use coord::name::{Organisation, Service};
use coord::sched::{self, SchedOptions};

use super::{Class, Document, ModelService, PlainService, ServiceSettings, Upstreams};
use crate::serve::{ServiceKind, ServiceSpec};

impl Document {
    /// Returns one specification for each pair of a service and an organisation that may call it.
    #[must_use]
    pub fn service_specs(&self) -> Vec<ServiceSpec> {
        let mut specs = Vec::new();
        let owner = std::iter::once(&self.organisation.name);
        for organisation in owner.chain(self.callers.keys()) {
            let callable = self.services.iter();
            let callable = callable.filter(|(name, _)| self.allows(organisation, name));
            specs.extend(callable.map(|(name, keys)| service_spec(organisation, name, keys)));
        }
        specs
    }
}

fn service_spec(
    organisation: &Organisation,
    name: &Service,
    keys: &ServiceSettings,
) -> ServiceSpec {
    match keys {
        ServiceSettings::Model(keys) => model_spec(organisation, name, keys),
        ServiceSettings::Plain(keys) => plain_spec(organisation, name, keys),
    }
}

fn model_spec(organisation: &Organisation, name: &Service, keys: &ModelService) -> ServiceSpec {
    ServiceSpec {
        organisation: organisation.clone(),
        name: name.clone(),
        group: keys.upstreams.clone(),
        kind: ServiceKind::Model,
        class: match keys.class {
            Class::Interactive => sched::Class::Interactive,
            Class::Patient => sched::Class::Patient,
        },
        ttft_target: keys.ttft_target.0,
        token_target: keys.itl_target.0,
        request_limit: keys.deadline.0,
        once: keys.once,
        once_paths: Vec::new(),
        max_prompt: keys.max_prompt.0,
        max_output: keys.max_output.0,
        require_key: keys.require_key,
        open_limit: keys.open_limit.0 as usize,
    }
}

fn plain_spec(organisation: &Organisation, name: &Service, keys: &PlainService) -> ServiceSpec {
    ServiceSpec {
        organisation: organisation.clone(),
        name: name.clone(),
        group: keys.upstreams.clone(),
        kind: ServiceKind::Plain,
        class: sched::Class::Interactive,
        ttft_target: keys.deadline.0,
        token_target: keys.deadline.0,
        request_limit: keys.deadline.0,
        once: keys.once,
        once_paths: keys.once_paths.clone(),
        max_prompt: u32::MAX,
        max_output: u32::MAX,
        require_key: keys.require_key,
        open_limit: keys.open_limit.0 as usize,
    }
}

impl Upstreams {
    /// Returns the options of a cell, the scheduler of a group of engines.
    #[must_use]
    pub fn sched_options(&self) -> SchedOptions {
        SchedOptions {
            block_tokens: self.block.0,
            prefill_ttl: self.prefill_ttl.0,
            decode_step: self.step.0,
            prefill_rate: self.prefill_rate.0,
            link_rate: self.link_rate.0,
            token_bytes: self.token_bytes.0,
            queue_limit: self.queue_limit.0 as usize,
            ..SchedOptions::default()
        }
    }
}
