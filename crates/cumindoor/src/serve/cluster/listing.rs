//! The platform's list as documents, one for each entry.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

use coord::claim::VmList;
use coord::config::Validator;
use coord::member::ListedVm as Member;
use coord::name::VmName;

use super::LIST_PREFIX;
use super::published::ListedEntries;
use crate::serve::registry::{ListedUpstream, ListedVm, Listing, Presence};

const VM_PREFIX: &str = "@vm/";
const UPSTREAM_PREFIX: &str = "@up/";
/// The names of all VMs of one revision. Claims need them as one unit, while the entries of one
/// revision arrive one by one.
const VMS: &str = "@vms";

/// Returns the documents of a list.
pub(super) fn documents(listing: &Listing) -> BTreeMap<Arc<str>, Arc<str>> {
    let vms = listing
        .vms
        .iter()
        .map(|vm| (format!("{VM_PREFIX}{}", vm.name), vm.to_text()));
    let upstreams = listing.upstreams.iter();
    let upstreams = upstreams.map(|up| (format!("{UPSTREAM_PREFIX}{}", up.name), up.to_text()));
    let names: BTreeSet<&str> = listing.vms.iter().map(|vm| vm.name.as_str()).collect();
    let names: Vec<&str> = names.into_iter().collect();
    let all = (VMS.to_owned(), names.join("\n"));
    vms.chain(upstreams)
        .chain([all])
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
        } else if name == VMS {
            return Ok(());
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

/// Returns the list of VMs, if `name` is the document that has it.
pub(super) fn vm_list(name: &str, revision: u64, text: Option<&str>) -> Option<VmList> {
    let text = text.filter(|_| name == VMS)?;
    let names = text.lines().filter(|name| !name.is_empty());
    Some(VmList::new(revision, names.map(VmName::from)))
}

/// Applies a document to the list; returns `false` if it is not an entry of the list.
pub(super) fn apply(listed: &mut ListedEntries, name: &str, text: Option<&str>) -> bool {
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
