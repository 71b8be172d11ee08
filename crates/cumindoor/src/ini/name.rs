//! Names of VMs, data centres, organisations, services and groups of upstreams.

use coord::name::{DataCentre, Organisation, Service, Upstream, VmName};

use super::value::{ListItem, Setting};

/// Bytes of one name at most, as in host names.
const NAME_LIMIT: usize = 63;

fn is_name(text: &str) -> bool {
    let inner = |byte: u8| byte.is_ascii_lowercase() || byte.is_ascii_digit();
    let bytes = text.as_bytes();
    let (Some(first), Some(last)) = (bytes.first(), bytes.last()) else {
        return false;
    };
    bytes.len() <= NAME_LIMIT
        && inner(*first)
        && inner(*last)
        && bytes
            .iter()
            .all(|byte| inner(*byte) || b"-_.".contains(byte))
}

macro_rules! names {
    ($($name:ident),+) => {
        $(
            impl Setting for $name {
                const UNIT: &'static str = "a name of up to 63 characters a-z, 0-9, `-`, `_`, `.`";

                fn parse(text: &str) -> Result<Self, String> {
                    if is_name(text) {
                        return Ok(text.into());
                    }
                    Err(format!("expected {}", Self::UNIT))
                }

                fn print(&self) -> String {
                    self.to_string()
                }
            }

            impl ListItem for $name {
                const LIST: &'static str = "names separated by commas";
            }
        )+
    };
}

names!(DataCentre, Organisation, Service, Upstream, VmName);
