//! Conversion of a request to the job that the scheduler handles.

use coord::hash::{hash64, hash128};
use coord::name::VmName;
use coord::sched::{Class, Job, JobId};
use xxhash_rust::xxh3::Xxh3;

use super::Context;
use crate::serve::spec::ServiceSpec;

/// The estimated number of bytes of text for one token, used until an engine has counted the
/// tokens of a prompt.
const BYTES_PER_TOKEN: usize = 4;

/// A caller's request to a model.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ModelRequest {
    /// The whole prompt as one text.
    pub prompt: String,
    /// The most output tokens to generate.
    pub max_tokens: u32,
    /// The trace context from the caller's headers.
    pub trace: Option<String>,
}

/// Returns the priority of a class in calls to engines; a higher number goes first.
pub(super) fn priority(class: Class) -> u8 {
    match class {
        Class::Interactive => 1,
        Class::Patient => 0,
    }
}

/// Returns the estimated number of tokens of `text`.
pub(in crate::serve) fn estimate_tokens(text: &str) -> u32 {
    let tokens = text.len().div_ceil(BYTES_PER_TOKEN).max(1);
    u32::try_from(tokens).unwrap_or(u32::MAX)
}

/// Returns the job for `request` with a new id.
pub(super) fn build_job(context: &Context, spec: &ServiceSpec, request: &ModelRequest) -> Job {
    let group = context.table.group(&spec.group);
    let block_tokens = group.map_or(context.options.block_tokens, |g| g.block_tokens);
    Job {
        id: random_job_id(&context.options.vm),
        vm: context.options.vm.clone(),
        organisation: spec.organisation.clone(),
        service: spec.group.clone(),
        class: spec.class,
        deadline: context.clock.now() + spec.ttft_target,
        token_target: spec.token_target,
        prompt_tokens: estimate_tokens(&request.prompt),
        max_tokens: request.max_tokens,
        prefix: prefix_hashes(&request.prompt, block_tokens),
        fingerprint: fingerprint(spec, &request.prompt),
        once: spec.once,
        suspect: false,
        offset: 0,
    }
}

/// Returns a random id for a request of this VM.
pub(super) fn random_job_id(vm: &VmName) -> JobId {
    JobId::new(vm, uuid::Uuid::new_v4().as_u128())
}

/// Returns the hash of each prefix that consists of whole blocks, shortest first.
fn prefix_hashes(prompt: &str, block_tokens: u32) -> Vec<u64> {
    let block = block_tokens.max(1) as usize * BYTES_PER_TOKEN;
    let mut state = Xxh3::new();
    let mut hashes = Vec::with_capacity(prompt.len() / block);
    for chunk in prompt.as_bytes().chunks_exact(block) {
        state.update(chunk);
        hashes.push(state.digest());
    }
    hashes
}

/// Returns a hash of the prompt and of the organisation and service that it is sent to.
fn fingerprint(spec: &ServiceSpec, prompt: &str) -> u128 {
    let organisation = hash64(spec.organisation.as_str().as_bytes());
    let service = hash64(spec.name.as_str().as_bytes());
    let scope = (u128::from(organisation) << 64) | u128::from(service);
    hash128(prompt.as_bytes()) ^ scope
}
