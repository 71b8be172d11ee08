//! Sections whose keys have a type, a unit, bounds and a default.

use super::value::Setting;
use super::{Entry, Findings, quote};

/// What applies if a key is absent.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Fallback {
    /// The key must be given.
    Required,
    /// Nothing: the key's effect does not apply.
    Absent,
    /// This value.
    Value(&'static str),
}

/// One key of a section.
#[derive(Clone, Copy, Debug)]
pub struct KeySpec {
    /// The key.
    pub name: &'static str,
    /// The form of a value, with its units.
    pub unit: &'static str,
    /// What applies if the key is absent.
    pub fallback: Fallback,
    /// The lowest and the highest value.
    pub bounds: Option<(&'static str, &'static str)>,
    /// What the key does.
    pub about: &'static str,
}

/// A section whose keys are known.
pub trait Keys: Sized {
    /// The keys, in the order of the page and the printout.
    const KEYS: &'static [KeySpec];

    /// Reads the section's values; `None` if one of them has a finding.
    fn read(section: &Section, findings: &mut Findings) -> Option<Self>;

    /// Returns the keys and values that are in force, defaults included.
    fn values(&self) -> Vec<(&'static str, String)>;
}

/// A field of a section: a value, or an optional one.
pub trait Field: Sized {
    /// The form of a value, with its units.
    const UNIT: &'static str;

    /// Reads the field.
    fn read(section: &Section, spec: &KeySpec, findings: &mut Findings) -> Option<Self>;

    /// Returns the value as text, or `None` if it is absent.
    fn print(&self) -> Option<String>;
}

impl<T: Setting> Field for T {
    const UNIT: &'static str = T::UNIT;

    fn read(section: &Section, spec: &KeySpec, findings: &mut Findings) -> Option<Self> {
        let Some(entry) = section.entry(spec.name) else {
            if let Fallback::Value(text) = spec.fallback {
                return T::parse(text).ok();
            }
            let title = &section.title;
            let text = format!("[{title}] has no `{}`; expected {}", spec.name, T::UNIT);
            findings.add(section.line, text);
            return None;
        };
        read_entry(entry, spec, findings)
    }

    fn print(&self) -> Option<String> {
        Some(Setting::print(self))
    }
}

impl<T: Setting> Field for Option<T> {
    const UNIT: &'static str = T::UNIT;

    fn read(section: &Section, spec: &KeySpec, findings: &mut Findings) -> Option<Self> {
        match section.entry(spec.name) {
            Some(entry) => read_entry(entry, spec, findings).map(Some),
            None => Some(None),
        }
    }

    fn print(&self) -> Option<String> {
        self.as_ref().map(Setting::print)
    }
}

fn read_entry<T: Setting>(entry: &Entry, spec: &KeySpec, findings: &mut Findings) -> Option<T> {
    match T::parse(&entry.value).and_then(|value| check_bounds(value, spec)) {
        Ok(value) => Some(value),
        Err(problem) => {
            let value = quote(&entry.value);
            findings.add(entry.line, format!("{} = {value}: {problem}", spec.name));
            None
        }
    }
}

fn check_bounds<T: Setting>(value: T, spec: &KeySpec) -> Result<T, String> {
    let Some((low, high)) = spec.bounds else {
        return Ok(value);
    };
    // The bounds are constants of this crate; a test parses all of them.
    if T::parse(low).is_ok_and(|low| value < low) {
        return Err(format!("too low; expected {low} to {high}"));
    }
    if T::parse(high).is_ok_and(|high| value > high) {
        return Err(format!("too high; expected {low} to {high}"));
    }
    Ok(value)
}

/// One section of a file.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Section {
    /// The line of its title, from 1.
    pub line: usize,
    /// The text between the brackets.
    pub title: String,
    /// Its lines, in order.
    pub entries: Vec<Entry>,
}

impl Section {
    /// Returns an empty section.
    #[must_use]
    pub fn new(line: usize, title: &str) -> Self {
        Self {
            line,
            title: title.into(),
            entries: Vec::new(),
        }
    }

    /// Returns the first word of the title.
    #[must_use]
    pub fn kind(&self) -> &str {
        self.title.split(' ').next().unwrap_or_default()
    }

    /// Returns the title after its first word.
    #[must_use]
    pub fn subject(&self) -> &str {
        self.title.split_once(' ').map_or("", |(_, rest)| rest)
    }

    /// Returns the first entry with `key`.
    #[must_use]
    pub fn entry(&self, key: &str) -> Option<&Entry> {
        self.entries.iter().find(|entry| entry.key == key)
    }

    /// Returns the line of `key`, or of the title if the key is absent.
    #[must_use]
    pub fn line_of(&self, key: &str) -> usize {
        self.entry(key).map_or(self.line, |entry| entry.line)
    }

    /// Reads the section and reports unknown and repeated keys.
    pub fn read<T: Keys>(&self, findings: &mut Findings) -> Option<T> {
        self.check_names(T::KEYS, findings);
        T::read(self, findings)
    }

    fn check_names(&self, known: &[KeySpec], findings: &mut Findings) {
        let mut seen: std::collections::BTreeMap<&str, usize> = std::collections::BTreeMap::new();
        for entry in &self.entries {
            let key = entry.key.as_str();
            if !known.iter().any(|spec| spec.name == key) {
                let names = known.iter().map(|spec| spec.name);
                findings.add_with(entry.line, || unknown_key(&self.title, key, names));
            } else if let Some(first) = seen.get(key) {
                let text = format!("`{key}` is given twice; the first one is in line {first}");
                findings.add(entry.line, text);
            } else {
                seen.insert(key, entry.line);
            }
        }
    }
}

fn unknown_key(
    title: &str,
    key: &str,
    names: impl Iterator<Item = &'static str> + Clone,
) -> String {
    let problem = format!("{} is not a key of [{}]", quote(key), title.escape_debug());
    if let Some(name) = closest(key, names.clone()) {
        return format!("{problem}; did you mean `{name}`?");
    }
    let names: Vec<_> = names.collect();
    format!("{problem}; expected one of {}", names.join(", "))
}

/// Returns the one of `names` that `word` may be a misspelling of.
pub fn closest<'a>(word: &str, names: impl Iterator<Item = &'a str> + Clone) -> Option<&'a str> {
    // Longer words cannot be misspellings, and the distance takes quadratic time.
    const LONGEST: usize = 64;
    const SIMILAR: f64 = 0.6;
    if word.len() > LONGEST {
        return None;
    }
    let word = word.to_lowercase().replace('_', "-");
    let starts = |name: &&str| word.len() >= 3 && name.starts_with(&word);
    if let Some(name) = names.clone().find(starts) {
        return Some(name);
    }
    names
        .map(|name| (strsim::normalized_damerau_levenshtein(&word, name), name))
        .filter(|(similarity, _)| *similarity >= SIMILAR)
        .max_by(|a, b| a.0.total_cmp(&b.0))
        .map(|(_, name)| name)
}

/// Declares a section: its struct, its key table, its reader and its printout.
///
/// The doc comment of a field is also the text of the key's row on the page.
macro_rules! section {
    (
        $(#[$meta:meta])*
        pub struct $section:ident {
            $(
                $(#[doc = $about:literal])+
                $field:ident: $type:ty = $key:literal $fallback:ident $(($default:literal))?
                    $([$low:literal to $high:literal])?,
            )+
        }
    ) => {
        $(#[$meta])*
        #[derive(Clone, Debug, PartialEq)]
        pub struct $section {
            $( $(#[doc = $about])+ pub $field: $type, )+
        }

        impl $crate::ini::Keys for $section {
            const KEYS: &'static [$crate::ini::KeySpec] = &[
                $( $crate::ini::KeySpec {
                    name: $key,
                    unit: <$type as $crate::ini::Field>::UNIT,
                    fallback: $crate::ini::Fallback::$fallback $(($default))?,
                    bounds: $crate::ini::section!(@bounds $($low, $high)?),
                    about: concat!($($about),+),
                }, )+
            ];

            fn read(
                section: &$crate::ini::Section,
                findings: &mut $crate::ini::Findings,
            ) -> Option<Self> {
                let mut specs = <Self as $crate::ini::Keys>::KEYS.iter();
                // All fields are read before the first missing one ends the function, so that
                // every finding is reported.
                $( let $field = specs.next().and_then(|spec| {
                    <$type as $crate::ini::Field>::read(section, spec, findings)
                }); )+
                Some(Self { $( $field: $field?, )+ })
            }

            fn values(&self) -> Vec<(&'static str, String)> {
                let mut values = Vec::new();
                $( if let Some(text) = $crate::ini::Field::print(&self.$field) {
                    values.push(($key, text));
                } )+
                values
            }
        }
    };
    (@bounds) => { None };
    (@bounds $low:literal, $high:literal) => { Some(($low, $high)) };
}
pub(crate) use section;
