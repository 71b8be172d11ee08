//! The scheduler's view of a request.

use coord::hash::{hash64, hash128};
use coord::name::VmName;
use coord::sched::{Class, Job, JobId};
use xxhash_rust::xxh3::Xxh3;

use super::Context;
use crate::serve::spec::ServiceSpec;

/// Bytes of text that are estimated to be one token before an engine has counted them.
const BYTES_PER_TOKEN: usize = 4;

/// What a caller asked for.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ModelRequest {
    /// The prompt as one text.
    pub prompt: String,
    /// Output tokens at most.
    pub max_tokens: u32,
    /// The trace context that the caller sent.
    pub trace: Option<String>,
}

/// Returns the priority that engines are given for a class.
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

/// Returns the scheduler's view of `ask`.
pub(super) fn build_job(context: &Context, spec: &ServiceSpec, request: &ModelRequest) -> Job {
    let group = context.table.group(&spec.group);
    let block_tokens = group.map_or(context.options.block_tokens, |g| g.block_tokens);
    Job {
        id: random_job_id(&context.options.vm),
        vm: context.options.vm.clone(),
        organisation: spec.organisation.clone(),
        service: spec.group.clone(),
        class: spec.class,
        deadline: context.clock.now() + spec.first_token,
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

/// Draws the id of a new request of this VM.
pub(super) fn random_job_id(vm: &VmName) -> JobId {
    JobId::new(vm, uuid::Uuid::new_v4().as_u128())
}

/// Returns the hash of each prefix of whole blocks, shortest first.
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

fn fingerprint(spec: &ServiceSpec, prompt: &str) -> u128 {
    let organisation = hash64(spec.organisation.as_str().as_bytes());
    let service = hash64(spec.name.as_str().as_bytes());
    let scope = (u128::from(organisation) << 64) | u128::from(service);
    hash128(prompt.as_bytes()) ^ scope
}
