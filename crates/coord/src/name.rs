//! Shared immutable names.
//!
//! Names are cloned into many tables, so each one is a reference-counted string.

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
            /// Returns the name as a string slice.
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
    /// The name of a data centre: a zone that fails as a whole.
    DataCentre
);
name!(
    /// The name of an organisation: a customer that owns one document.
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

/// Tells a restarted VM from its predecessor under the same name: a later start has a higher number.
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
