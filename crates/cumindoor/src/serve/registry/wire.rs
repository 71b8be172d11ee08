//! The JSON format of the configuration service's responses, and of the entries of the list that
//! VMs exchange.

use std::net::SocketAddr;
use std::sync::Arc;

use coord::config::{Document, ReadResponse};
use serde::{Deserialize, Serialize};

use super::{LifecycleState, ListedUpstream, ListedVm, UpstreamRole};

#[derive(Debug, Deserialize)]
pub(super) struct Documents {
    revision: u64,
    documents: Vec<Entry>,
}

/// One document; a deleted one has no text.
#[derive(Debug, Deserialize)]
struct Entry {
    name: Arc<str>,
    revision: u64,
    text: Option<Arc<str>>,
}

#[derive(Debug, Deserialize)]
pub(super) struct Listing {
    revision: u64,
    vms: Vec<Vm>,
    upstreams: Vec<Upstream>,
}

#[derive(Clone, Copy, Debug, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
enum State {
    Live,
    Leaving,
}

#[derive(Clone, Copy, Debug, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
enum Role {
    Prefill,
    Decode,
    Both,
    Plain,
}

/// The JSON object of a VM.
#[derive(Debug, Serialize, Deserialize)]
struct Vm {
    name: Arc<str>,
    data_centre: Arc<str>,
    peer: SocketAddr,
    state: State,
}

/// The JSON object of an upstream.
#[derive(Debug, Serialize, Deserialize)]
struct Upstream {
    name: Arc<str>,
    service: Arc<str>,
    role: Role,
    data_centre: Arc<str>,
    address: SocketAddr,
    state: State,
}

impl Documents {
    pub(super) fn into_response(self, since: u64) -> ReadResponse {
        let documents = self.documents.into_iter().map(|entry| Document {
            name: entry.name,
            revision: entry.revision,
            text: entry.text,
            age_seconds: 0,
        });
        ReadResponse {
            since,
            revision: self.revision,
            documents: documents.collect(),
        }
    }
}

impl From<Listing> for super::Listing {
    fn from(listing: Listing) -> Self {
        Self {
            revision: listing.revision,
            vms: listing.vms.into_iter().map(Into::into).collect(),
            upstreams: listing.upstreams.into_iter().map(Into::into).collect(),
        }
    }
}

impl ListedVm {
    /// Returns the entry as JSON for the distribution between VMs.
    #[must_use]
    pub fn to_text(&self) -> String {
        let vm = Vm {
            name: self.name.as_str().into(),
            data_centre: self.data_centre.as_str().into(),
            peer: self.peer,
            state: self.presence.into(),
        };
        serde_json::to_string(&vm).unwrap_or_default()
    }

    /// Parses an entry from its JSON text.
    ///
    /// # Errors
    ///
    /// Returns an error with the position and the reason if the text is malformed.
    pub fn from_text(text: &str) -> Result<Self, serde_json::Error> {
        serde_json::from_str::<Vm>(text).map(Into::into)
    }
}

impl ListedUpstream {
    /// Returns the entry as JSON for the distribution between VMs.
    #[must_use]
    pub fn to_text(&self) -> String {
        let upstream = Upstream {
            name: self.name.as_str().into(),
            service: self.service.as_str().into(),
            role: self.role.into(),
            data_centre: self.data_centre.as_str().into(),
            address: self.address,
            state: self.presence.into(),
        };
        serde_json::to_string(&upstream).unwrap_or_default()
    }

    /// Parses an entry from its JSON text.
    ///
    /// # Errors
    ///
    /// Returns an error with the position and the reason if the text is malformed.
    pub fn from_text(text: &str) -> Result<Self, serde_json::Error> {
        serde_json::from_str::<Upstream>(text).map(Into::into)
    }
}

impl From<Vm> for ListedVm {
    fn from(vm: Vm) -> Self {
        Self {
            name: vm.name.into(),
            data_centre: vm.data_centre.into(),
            peer: vm.peer,
            presence: vm.state.into(),
        }
    }
}

impl From<Upstream> for ListedUpstream {
    fn from(upstream: Upstream) -> Self {
        Self {
            name: upstream.name.into(),
            service: upstream.service.into(),
            role: upstream.role.into(),
            data_centre: upstream.data_centre.into(),
            address: upstream.address,
            presence: upstream.state.into(),
        }
    }
}

impl From<State> for LifecycleState {
    fn from(state: State) -> Self {
        match state {
            State::Live => Self::Live,
            State::Leaving => Self::Leaving,
        }
    }
}

impl From<LifecycleState> for State {
    fn from(presence: LifecycleState) -> Self {
        match presence {
            LifecycleState::Live => Self::Live,
            LifecycleState::Leaving => Self::Leaving,
        }
    }
}

impl From<Role> for UpstreamRole {
    fn from(role: Role) -> Self {
        match role {
            Role::Prefill => Self::Prefill,
            Role::Decode => Self::Decode,
            Role::Both => Self::Both,
            Role::Plain => Self::Plain,
        }
    }
}

impl From<UpstreamRole> for Role {
    fn from(role: UpstreamRole) -> Self {
        match role {
            UpstreamRole::Prefill => Self::Prefill,
            UpstreamRole::Decode => Self::Decode,
            UpstreamRole::Both => Self::Both,
            UpstreamRole::Plain => Self::Plain,
        }
    }
}
