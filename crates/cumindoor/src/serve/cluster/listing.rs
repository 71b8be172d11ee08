//! The conversion of the platform's list of VMs and upstreams to documents and back.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

use coord::claim::VmList;
use coord::config::Validator;
use coord::member::ListedVm as Member;
use coord::name::VmName;

use super::LIST_PREFIX;
use super::published::ListedEntries;
use crate::serve::registry::{LifecycleState, ListedUpstream, ListedVm, Listing};

const VM_PREFIX: &str = "@vm/";
const UPSTREAM_PREFIX: &str = "@up/";
/// The document with the names of all VMs of one revision. Claims need a consistent set of names,
/// while the entries of a revision arrive separately.
const VM_NAMES: &str = "@vms";

/// Returns one document for each entry of the list, and one with the names of all VMs.
pub(super) fn documents(listing: &Listing) -> BTreeMap<Arc<str>, Arc<str>> {
    let vms = listing
        .vms
        .iter()
        .map(|vm| (format!("{VM_PREFIX}{}", vm.name), vm.to_text()));
    let upstreams = listing.upstreams.iter();
    let upstreams = upstreams.map(|up| (format!("{UPSTREAM_PREFIX}{}", up.name), up.to_text()));
    let names: BTreeSet<&str> = listing.vms.iter().map(|vm| vm.name.as_str()).collect();
    let names: Vec<&str> = names.into_iter().collect();
    let all = (VM_NAMES.to_owned(), names.join("\n"));
    vms.chain(upstreams)
        .chain([all])
        .map(|(name, text)| (name.into(), text.into()))
        .collect()
}

/// Converts entries to the list of VMs that membership uses.
pub(super) fn members<'a>(vms: impl Iterator<Item = &'a ListedVm>) -> Vec<Member> {
    vms.map(|vm| Member {
        name: vm.name.clone(),
        zone: vm.data_centre.clone(),
        addr: vm.peer,
        leaving: vm.presence == LifecycleState::Leaving,
    })
    .collect()
}

/// Returns a validator that checks the entries of the list itself and passes organisations'
/// documents to the `documents` validator.
pub(super) fn validator(documents: Validator) -> Validator {
    Arc::new(move |name, text| {
        let entry = if name.starts_with(VM_PREFIX) {
            ListedVm::from_text(text).map(|_| ())
        } else if name.starts_with(UPSTREAM_PREFIX) {
            ListedUpstream::from_text(text).map(|_| ())
        } else if name == VM_NAMES {
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

/// Parses the names of all VMs. Returns `None` if `name` is another document or the document was
/// deleted.
pub(super) fn vm_list(name: &str, revision: u64, text: Option<&str>) -> Option<VmList> {
    let text = text.filter(|_| name == VM_NAMES)?;
    let names = text.lines().filter(|name| !name.is_empty());
    Some(VmList::new(revision, names.map(VmName::from)))
}

/// Applies a document to the list. Returns `false` if it is not an entry of the list.
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
