//! Parsing of the names of VMs, data centres, organisations, services and upstreams.

use coord::name::{DataCentre, Organisation, Service, Upstream, VmName};

use super::value::{ListItem, Setting};

/// Maximum length of a name, which is that of a label in a host name.
const MAX_NAME_BYTES: usize = 63;

fn is_name(text: &str) -> bool {
    let is_alphanumeric = |byte: u8| byte.is_ascii_lowercase() || byte.is_ascii_digit();
    let bytes = text.as_bytes();
    let (Some(first), Some(last)) = (bytes.first(), bytes.last()) else {
        return false;
    };
    bytes.len() <= MAX_NAME_BYTES
        && is_alphanumeric(*first)
        && is_alphanumeric(*last)
        && bytes
            .iter()
            .all(|byte| is_alphanumeric(*byte) || b"-_.".contains(byte))
}

macro_rules! impl_name_setting {
    ($($name:ident),+) => {
        $(
            impl Setting for $name {
                const VALUE_FORMAT: &'static str = "a name of up to 63 characters a-z, 0-9, `-`, `_`, `.`";

                fn parse(text: &str) -> Result<Self, String> {
                    if is_name(text) {
                        return Ok(text.into());
                    }
                    Err(format!("expected {}", Self::VALUE_FORMAT))
                }

                fn to_text(&self) -> String {
                    self.to_string()
                }
            }

            impl ListItem for $name {
                const LIST_FORMAT: &'static str = "names separated by commas";
            }
        )+
    };
}

impl_name_setting!(DataCentre, Organisation, Service, Upstream, VmName);
