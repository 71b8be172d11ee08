//! Names of VMs, data centres, organisations, services and upstreams.
//!
//! Each name is a reference-counted string, because names are cloned into many maps.

use std::sync::Arc;

use derive_more::{AsRef, Display, From};
use serde::{Deserialize, Serialize};

macro_rules! name {
    ($(#[$doc:meta])* $name:ident) => {
        $(#[$doc])*
        #[derive(
            AsRef, Clone, Debug, Display, From, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize,
            Deserialize,
        )]
        #[serde(transparent)]
        #[from(Arc<str>, &str, String)]
        #[as_ref(str)]
        pub struct $name(Arc<str>);

        impl $name {
            /// Borrows the name as a string slice.
            #[must_use]
            pub fn as_str(&self) -> &str {
                &self.0
            }
        }
    };
}

name!(
    /// The name of a VM: a machine that runs one router process.
    VmName
);
name!(
    /// The name of a data centre, whose VMs may all fail at the same time.
    DataCentre
);
name!(
    /// The name of an organisation, a customer with one configuration document.
    Organisation
);
name!(
    /// The name of a service that an organisation runs.
    Service
);
name!(
    /// The name of an upstream: a model engine or a plain service instance.
    Upstream
);

/// A number that distinguishes a restarted VM from the earlier process of the same name.
///
/// A later start has a higher number.
#[derive(
    Clone,
    Copy,
    Debug,
    Default,
    Display,
    From,
    PartialEq,
    Eq,
    PartialOrd,
    Ord,
    Hash,
    Serialize,
    Deserialize,
)]
pub struct Incarnation(pub u64);
