//! Values that are not quantities.

use std::net::SocketAddr;
use std::sync::Arc;

use derive_more::Display;

/// Entries of one list at most.
const LIST_LIMIT: usize = 1_000;

/// Bytes of a model's name or a path at most.
const TEXT_LIMIT: usize = 256;

/// A value of a key.
pub trait Setting: Sized + PartialOrd {
    /// What a value looks like, as findings and pages say it.
    const UNIT: &'static str;

    /// Reads a value.
    ///
    /// # Errors
    ///
    /// Says what is wrong and what is expected.
    fn parse(text: &str) -> Result<Self, String>;

    /// Prints the value such that [`Setting::parse`] reads it again.
    fn print(&self) -> String;
}

impl Setting for bool {
    const UNIT: &'static str = "`yes` or `no`";

    fn parse(text: &str) -> Result<Self, String> {
        match text {
            "yes" => Ok(true),
            "no" => Ok(false),
            _ => Err(format!("expected {}", Self::UNIT)),
        }
    }

    fn print(&self) -> String {
        if *self { "yes" } else { "no" }.into()
    }
}

/// A number that need not be whole and is not negative.
#[derive(Clone, Copy, Debug, Display, PartialEq, PartialOrd)]
pub struct Ratio(pub f64);

impl Setting for Ratio {
    const UNIT: &'static str = "a number such as `0.2`";

    fn parse(text: &str) -> Result<Self, String> {
        let digits = text
            .bytes()
            .all(|byte| byte.is_ascii_digit() || byte == b'.');
        match text.parse() {
            Ok(number) if digits => Ok(Self(number)),
            _ => Err(format!("expected {}", Self::UNIT)),
        }
    }

    fn print(&self) -> String {
        self.0.to_string()
    }
}

/// A list without repetitions; it may be empty.
impl<T: Setting + ListItem> Setting for Vec<T> {
    const UNIT: &'static str = T::LIST;

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
            if list.len() > LIST_LIMIT {
                return Err(format!("expected at most {LIST_LIMIT} entries"));
            }
        }
        Ok(list)
    }

    fn print(&self) -> String {
        let parts: Vec<_> = self.iter().map(Setting::print).collect();
        parts.join(", ")
    }
}

/// A value that may stand in a list.
pub trait ListItem {
    /// What a list looks like.
    const LIST: &'static str;
}

macro_rules! address {
    ($(#[$doc:meta])* $name:ident, $unit:literal, $accepts:expr) => {
        $(#[$doc])*
        #[derive(Clone, Copy, Debug, Display, PartialEq, Eq, PartialOrd, Ord)]
        pub struct $name(pub SocketAddr);

        impl Setting for $name {
            const UNIT: &'static str = $unit;

            fn parse(text: &str) -> Result<Self, String> {
                let expected = |_| format!("expected {}", Self::UNIT);
                let addr: SocketAddr = text.parse().map_err(expected)?;
                let accepts: fn(&SocketAddr) -> Result<(), &'static str> = $accepts;
                accepts(&addr).map_err(|problem| format!("{problem}; expected {}", Self::UNIT))?;
                Ok(Self(addr))
            }

            fn print(&self) -> String {
                self.0.to_string()
            }
        }
    };
}

address!(
    /// An address to listen on; port 0, a free one, only on a loopback address.
    Listen,
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
    Target,
    "an IP address and a port such as `10.0.0.9:7000`",
    |addr| {
        if addr.ip().is_unspecified() {
            return Err("others cannot connect to an unspecified address");
        }
        if addr.port() == 0 && !addr.ip().is_loopback() {
            return Err("port 0 is allowed on loopback addresses only");
        }
        Ok(())
    }
);

impl ListItem for Target {
    const LIST: &'static str = "addresses separated by commas, such as `10.0.0.9:7000`";
}

macro_rules! text {
    ($(#[$doc:meta])* $name:ident, $unit:literal, $accepts:expr) => {
        $(#[$doc])*
        #[derive(Clone, Debug, Display, PartialEq, Eq, PartialOrd, Ord)]
        pub struct $name(pub Arc<str>);

        impl Setting for $name {
            const UNIT: &'static str = $unit;

            fn parse(text: &str) -> Result<Self, String> {
                let accepts: fn(&str) -> bool = $accepts;
                let printable = text.bytes().all(|byte| byte.is_ascii_graphic() && byte != b',');
                if text.is_empty() || text.len() > TEXT_LIMIT || !printable || !accepts(text) {
                    return Err(format!("expected {}", Self::UNIT));
                }
                Ok(Self(text.into()))
            }

            fn print(&self) -> String {
                self.0.to_string()
            }
        }
    };
}

text!(
    /// The name of a model's weights, an adapter or a version.
    ModelName,
    "a name of up to 256 printable ASCII characters without spaces and commas",
    |_| true
);
text!(
    /// The start of a path; it covers the path itself and everything below it.
    PathPrefix,
    "a path that starts with `/`, of up to 256 printable ASCII characters without `?` and `#`",
    |text| text.starts_with('/') && !text.contains(['?', '#'])
);

impl ListItem for PathPrefix {
    const LIST: &'static str = "paths separated by commas, such as `/transfers, /cards/top-up`";
}

/// Declares an enum whose values are words.
macro_rules! choice {
    (
        $(#[$meta:meta])*
        pub enum $name:ident ($unit:literal) {
            $( $(#[$doc:meta])* $variant:ident = $word:literal, )+
        }
    ) => {
        $(#[$meta])*
        #[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
        pub enum $name {
            $( $(#[$doc])* $variant, )+
        }

        impl $crate::ini::Setting for $name {
            const UNIT: &'static str = $unit;

            fn parse(text: &str) -> Result<Self, String> {
                match text {
                    $( $word => Ok(Self::$variant), )+
                    _ => Err(format!("expected {}", $unit)),
                }
            }

            fn print(&self) -> String {
                match self {
                    $( Self::$variant => $word, )+
                }
                .to_owned()
            }
        }
    };
}
pub(crate) use choice;
