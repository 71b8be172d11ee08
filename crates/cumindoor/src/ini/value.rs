//! Values other than quantities: addresses, names, lists and enums.

use std::net::SocketAddr;
use std::sync::Arc;

use derive_more::Display;

/// Maximum number of entries of a list.
const MAX_LIST_ENTRIES: usize = 1_000;

/// Maximum length of a model name or a path.
const MAX_TEXT_BYTES: usize = 256;

/// A type that the value of a key can have.
pub trait Setting: Sized + PartialOrd {
    /// The format of a value, as findings and the documentation show it.
    const VALUE_FORMAT: &'static str;

    /// Parses a value.
    ///
    /// # Errors
    ///
    /// Returns what is wrong and what is expected, without the key and the value.
    fn parse(text: &str) -> Result<Self, String>;

    /// Formats the value so that [`Setting::parse`] returns the same value.
    fn to_text(&self) -> String;
}

impl Setting for bool {
    const VALUE_FORMAT: &'static str = "`yes` or `no`";

    fn parse(text: &str) -> Result<Self, String> {
        match text {
            "yes" => Ok(true),
            "no" => Ok(false),
            _ => Err(format!("expected {}", Self::VALUE_FORMAT)),
        }
    }

    fn to_text(&self) -> String {
        if *self { "yes" } else { "no" }.into()
    }
}

/// A non-negative decimal number.
#[derive(Clone, Copy, Debug, Display, PartialEq, PartialOrd)]
pub struct Ratio(pub f64);

impl Setting for Ratio {
    const VALUE_FORMAT: &'static str = "a number such as `0.2`";

    fn parse(text: &str) -> Result<Self, String> {
        let is_decimal = text
            .bytes()
            .all(|byte| byte.is_ascii_digit() || byte == b'.');
        match text.parse() {
            Ok(number) if is_decimal => Ok(Self(number)),
            _ => Err(format!("expected {}", Self::VALUE_FORMAT)),
        }
    }

    fn to_text(&self) -> String {
        self.0.to_string()
    }
}

/// A comma-separated list without duplicates; it may be empty.
impl<T: Setting + ListItem> Setting for Vec<T> {
    const VALUE_FORMAT: &'static str = T::LIST_FORMAT;

    fn parse(text: &str) -> Result<Self, String> {
        let mut list = Self::new();
        if text.is_empty() {
            return Ok(list);
        }
        for part in text.split(',') {
            let item = T::parse(part.trim())
                .map_err(|problem| format!("{}: {problem}", super::quote(part.trim())))?;
            if list.contains(&item) {
                return Err(format!("{} is listed twice", super::quote(part.trim())));
            }
            list.push(item);
            if list.len() > MAX_LIST_ENTRIES {
                return Err(format!("expected at most {MAX_LIST_ENTRIES} entries"));
            }
        }
        Ok(list)
    }

    fn to_text(&self) -> String {
        let parts: Vec<_> = self.iter().map(Setting::to_text).collect();
        parts.join(", ")
    }
}

/// A type that can be an entry of a list.
pub trait ListItem {
    /// The format of a list of such values.
    const LIST_FORMAT: &'static str;
}

macro_rules! address {
    ($(#[$doc:meta])* $name:ident, $value_format:literal, $validate:expr) => {
        $(#[$doc])*
        #[derive(Clone, Copy, Debug, Display, PartialEq, Eq, PartialOrd, Ord)]
        pub struct $name(pub SocketAddr);

        impl Setting for $name {
            const VALUE_FORMAT: &'static str = $value_format;

            fn parse(text: &str) -> Result<Self, String> {
                let expected = |_| format!("expected {}", Self::VALUE_FORMAT);
                let addr: SocketAddr = text.parse().map_err(expected)?;
                let validate: fn(&SocketAddr) -> Result<(), &'static str> = $validate;
                validate(&addr).map_err(|problem| format!("{problem}; expected {}", Self::VALUE_FORMAT))?;
                Ok(Self(addr))
            }

            fn to_text(&self) -> String {
                self.0.to_string()
            }
        }
    };
}

address!(
    /// An address to listen on.
    ///
    /// Port 0, which lets the system choose a port, is only allowed on a loopback address.
    ListenAddr,
    "an IP address and a port such as `10.0.0.7:8080`",
    |addr| {
        if addr.port() == 0 && !addr.ip().is_loopback() {
            return Err("port 0 is allowed on loopback addresses only");
        }
        Ok(())
    }
);
address!(
    /// An address to connect to.
    ConnectAddr,
    "an IP address and a port such as `10.0.0.9:7000`",
    |addr| {
        if addr.ip().is_unspecified() {
            return Err("clients cannot connect to an unspecified address");
        }
        if addr.port() == 0 && !addr.ip().is_loopback() {
            return Err("port 0 is allowed on loopback addresses only");
        }
        Ok(())
    }
);

impl ListItem for ConnectAddr {
    const LIST_FORMAT: &'static str = "addresses separated by commas, such as `10.0.0.9:7000`";
}

macro_rules! text {
    ($(#[$doc:meta])* $name:ident, $value_format:literal, $validate:expr) => {
        $(#[$doc])*
        #[derive(Clone, Debug, Display, PartialEq, Eq, PartialOrd, Ord)]
        pub struct $name(pub Arc<str>);

        impl Setting for $name {
            const VALUE_FORMAT: &'static str = $value_format;

            fn parse(text: &str) -> Result<Self, String> {
                let validate: fn(&str) -> bool = $validate;
                let printable = text.bytes().all(|byte| byte.is_ascii_graphic() && byte != b',');
                if text.is_empty() || text.len() > MAX_TEXT_BYTES || !printable || !validate(text) {
                    return Err(format!("expected {}", Self::VALUE_FORMAT));
                }
                Ok(Self(text.into()))
            }

            fn to_text(&self) -> String {
                self.0.to_string()
            }
        }
    };
}

text!(
    /// The name of the weights, adapter or version of a model.
    ModelName,
    "a name of up to 256 printable ASCII characters without spaces and commas",
    |_| true
);
text!(
    /// A path prefix, which covers the path itself and everything below it.
    PathPrefix,
    "a path that starts with `/`, of up to 256 printable ASCII characters without `?` and `#`",
    |text| text.starts_with('/') && !text.contains(['?', '#'])
);

impl ListItem for PathPrefix {
    const LIST_FORMAT: &'static str =
        "paths separated by commas, such as `/transfers, /cards/top-up`";
}

/// Declares an enum whose variants are written as keywords, and implements [`Setting`] for it.
macro_rules! choice {
    (
        $(#[$meta:meta])*
        pub enum $name:ident ($value_format:literal) {
            $( $(#[$doc:meta])* $variant:ident = $keyword:literal, )+
        }
    ) => {
        $(#[$meta])*
        #[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
        pub enum $name {
            $( $(#[$doc])* $variant, )+
        }

        impl $crate::ini::Setting for $name {
            const VALUE_FORMAT: &'static str = $value_format;

            fn parse(text: &str) -> Result<Self, String> {
                match text {
                    $( $keyword => Ok(Self::$variant), )+
                    _ => Err(format!("expected {}", $value_format)),
                }
            }

            fn to_text(&self) -> String {
                match self {
                    $( Self::$variant => $keyword, )+
                }
                .to_owned()
            }
        }
    };
}
pub(crate) use choice;
