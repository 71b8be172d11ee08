//! Quantities: numbers with a unit.

use std::time::Duration;

use derive_more::{Display, From};

use super::value::Setting;

/// Maximum number of digits of a number.
const MAX_NUMBER_DIGITS: usize = 18;

/// The name of a unit and its factor to the smallest unit of the same kind.
///
/// Tables of units start with the largest one.
type Unit = (&'static str, u128);

const TIME_UNITS: &[Unit] = &[
    ("h", 3_600_000_000),
    ("min", 60_000_000),
    ("s", 1_000_000),
    ("ms", 1_000),
    ("us", 1),
];
const BYTE_UNITS: &[Unit] = &[
    ("GB", 1_000_000_000),
    ("MB", 1_000_000),
    ("KB", 1_000),
    ("B", 1),
];
const BYTE_RATE_UNITS: &[Unit] = &[
    ("GB/s", 1_000_000_000),
    ("MB/s", 1_000_000),
    ("KB/s", 1_000),
    ("B/s", 1),
];
const TOKEN_UNITS: &[Unit] = &[("tokens", 1)];
const TOKEN_RATE_UNITS: &[Unit] = &[("tokens/s", 1)];
const REQUEST_RATE_UNITS: &[Unit] = &[("requests/s", 1)];
const NO_UNITS: &[Unit] = &[("", 1)];

/// Parses a number with one of `units` and returns it in the smallest unit.
fn parse_quantity(text: &str, units: &[Unit], expected: &str) -> Result<u128, String> {
    let end = text.find(|c: char| !c.is_ascii_digit() && c != '.');
    let (number, unit) = text.split_at(end.unwrap_or(text.len()));
    let unit = unit.trim();
    if number.is_empty() {
        return Err(format!("not a number; expected {expected}"));
    }
    if unit.is_empty() && !units[0].0.is_empty() {
        return Err(format!("the unit is missing; expected {expected}"));
    }
    let Some((_, factor)) = units.iter().find(|(name, _)| *name == unit) else {
        return Err(format!("the unit is unknown; expected {expected}"));
    };
    scale(number, *factor).map_err(|problem| format!("{problem}; expected {expected}"))
}

/// Multiplies the decimal number `number` by `factor`; the product must be a whole number.
fn scale(number: &str, factor: u128) -> Result<u128, &'static str> {
    let (whole, decimals) = number.split_once('.').unwrap_or((number, "0"));
    if whole.is_empty() || decimals.is_empty() || decimals.contains('.') {
        return Err("not a number");
    }
    if whole.len() + decimals.len() > MAX_NUMBER_DIGITS {
        return Err("the number has too many digits");
    }
    // 18 digits times a factor below 2^32 fit into 128 bits, so the product cannot overflow.
    let digits: u128 = format!("{whole}{decimals}")
        .parse()
        .map_err(|_| "not a number")?;
    let scaled = digits * factor;
    let divisor = 10_u128.pow(u32::try_from(decimals.len()).unwrap_or(0));
    if !scaled.is_multiple_of(divisor) {
        return Err("the number has too many decimals");
    }
    Ok(scaled / divisor)
}

/// Formats `value` in the largest unit in which it is a whole number.
fn format_quantity(value: u128, units: &[Unit]) -> String {
    let whole = |(_, factor): &&Unit| value.is_multiple_of(*factor);
    let (name, factor) = units.iter().find(whole).unwrap_or(&("", 1));
    format!("{} {name}", value / factor).trim_end().to_owned()
}

macro_rules! quantity {
    ($(#[$doc:meta])* $name:ident($int:ty), $units:expr, $value_format:literal) => {
        $(#[$doc])*
        #[derive(Clone, Copy, Debug, Display, From, PartialEq, Eq, PartialOrd, Ord)]
        #[display("{}", Setting::to_text(self))]
        pub struct $name(pub $int);

        impl Setting for $name {
            const VALUE_FORMAT: &'static str = $value_format;

            fn parse(text: &str) -> Result<Self, String> {
                let value = parse_quantity(text, $units, Self::VALUE_FORMAT)?;
                let value = <$int>::try_from(value);
                value.map(Self).map_err(|_| format!("too high; expected {}", Self::VALUE_FORMAT))
            }

            fn to_text(&self) -> String {
                format_quantity(u128::from(self.0), $units)
            }
        }
    };
}

quantity!(
    /// A number of bytes; 1 KB is 1,000 bytes.
    Bytes(u64), BYTE_UNITS, "a size such as `4 MB` (B, KB, MB, GB)"
);
quantity!(
    /// A rate in bytes per second.
    ByteRate(u64), BYTE_RATE_UNITS, "a rate such as `2 GB/s` (B/s, KB/s, MB/s, GB/s)"
);
quantity!(
    /// A number of tokens.
    Tokens(u32), TOKEN_UNITS, "a length such as `1000 tokens`"
);
quantity!(
    /// A rate in tokens per second.
    TokenRate(u32), TOKEN_RATE_UNITS, "a rate such as `5000 tokens/s`"
);
quantity!(
    /// A rate in requests per second.
    RequestRate(u32), REQUEST_RATE_UNITS, "a rate such as `50 requests/s`"
);
quantity!(
    /// A number without a unit; the key says what it counts.
    Count(u32), NO_UNITS, "a whole number such as `100`"
);

/// A duration in whole microseconds.
#[derive(Clone, Copy, Debug, Display, From, PartialEq, Eq, PartialOrd, Ord)]
#[display("{}", Setting::to_text(self))]
pub struct TimeSpan(pub Duration);

impl Setting for TimeSpan {
    const VALUE_FORMAT: &'static str = "a duration such as `1500 ms` (us, ms, s, min, h)";

    fn parse(text: &str) -> Result<Self, String> {
        let micros = parse_quantity(text, TIME_UNITS, Self::VALUE_FORMAT)?;
        let micros = u64::try_from(micros);
        let span = micros.map(|micros| Self(Duration::from_micros(micros)));
        span.map_err(|_| format!("too high; expected {}", Self::VALUE_FORMAT))
    }

    fn to_text(&self) -> String {
        format_quantity(self.0.as_micros(), TIME_UNITS)
    }
}
