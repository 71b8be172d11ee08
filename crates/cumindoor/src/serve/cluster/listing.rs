//! The platform's list as documents, one for each entry.

use std::collections::BTreeMap;
use std::sync::Arc;

use coord::config::Validator;
use coord::member::Listed as Member;

use super::LIST_PREFIX;
use super::published::Listed;
use crate::serve::platform::{ListedUpstream, ListedVm, Listing, Presence};

const VM_PREFIX: &str = "@vm/";
const UPSTREAM_PREFIX: &str = "@up/";

/// Returns the documents of a list.
pub(super) fn documents(listing: &Listing) -> BTreeMap<Arc<str>, Arc<str>> {
    let vms = listing
        .vms
        .iter()
        .map(|vm| (format!("{VM_PREFIX}{}", vm.name), vm.to_text()));
    let upstreams = listing.upstreams.iter();
    let upstreams = upstreams.map(|up| (format!("{UPSTREAM_PREFIX}{}", up.name), up.to_text()));
    vms.chain(upstreams)
        .map(|(name, text)| (name.into(), text.into()))
        .collect()
}

/// Returns the VMs for the membership.
pub(super) fn members<'a>(vms: impl Iterator<Item = &'a ListedVm>) -> Vec<Member> {
    vms.map(|vm| Member {
        name: vm.name.clone(),
        zone: vm.zone.clone(),
        addr: vm.peer,
        leaving: vm.presence == Presence::Leaving,
    })
    .collect()
}

/// Adds the check of the list's entries to the check of organisations' documents.
pub(super) fn validator(documents: Validator) -> Validator {
    Arc::new(move |name, text| {
        let entry = if name.starts_with(VM_PREFIX) {
            ListedVm::from_text(text).map(|_| ())
        } else if name.starts_with(UPSTREAM_PREFIX) {
            ListedUpstream::from_text(text).map(|_| ())
        } else if name.starts_with(LIST_PREFIX) {
            return Err(vec![format!(
                "{name}: names must not start with {LIST_PREFIX}"
            )]);
        } else {
            return documents(name, text);
        };
        entry.map_err(|error| vec![format!("{name}: {error}")])
    })
}

/// Applies a document to the list; returns `false` if it is not an entry of the list.
pub(super) fn apply(listed: &mut Listed, name: &str, text: Option<&str>) -> bool {
    if let Some(vm) = name.strip_prefix(VM_PREFIX) {
        match text.and_then(|text| ListedVm::from_text(text).ok()) {
            Some(entry) => listed.vms.insert(vm.into(), entry),
            None => listed.vms.remove(&vm.into()),
        };
    } else if let Some(upstream) = name.strip_prefix(UPSTREAM_PREFIX) {
        match text.and_then(|text| ListedUpstream::from_text(text).ok()) {
            Some(entry) => listed.upstreams.insert(upstream.into(), entry),
            None => listed.upstreams.remove(&upstream.into()),
        };
    } else {
        return false;
    }
    true
}
