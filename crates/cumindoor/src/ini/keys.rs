//! Sections whose keys have a type, a value format, bounds and a default.

use super::value::Setting;
use super::{Entry, Findings, quote};

/// What applies if a key is absent from its section.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Fallback {
    /// The key must be given.
    Required,
    /// The key is optional and has no default.
    Absent,
    /// The key is optional and has this default.
    Value(&'static str),
}

/// The specification of one key of a section.
#[derive(Clone, Copy, Debug)]
pub struct KeySpec {
    /// The name of the key.
    pub name: &'static str,
    /// The format of a value, with its units, as findings and documentation show it.
    pub value_format: &'static str,
    /// Whether the key is required, and its default.
    pub fallback: Fallback,
    /// The lowest and the highest value that are allowed.
    pub bounds: Option<(&'static str, &'static str)>,
    /// What the key does, for the documentation.
    pub description: &'static str,
}

/// A section with a fixed set of typed keys.
pub trait TypedSection: Sized {
    /// The keys, in the order in which they are documented and printed.
    const KEYS: &'static [KeySpec];

    /// Parses the values of the section; returns `None` if one of them has a finding.
    fn read(section: &Section, findings: &mut Findings) -> Option<Self>;

    /// Returns the effective keys and values, including defaults.
    fn values(&self) -> Vec<(&'static str, String)>;
}

/// The type of a section's field: a [`Setting`] or an `Option` of one.
pub trait Field: Sized {
    /// The format of a value, with its units.
    const VALUE_FORMAT: &'static str;

    /// Parses the field; returns `None` after reporting a finding.
    fn read(section: &Section, spec: &KeySpec, findings: &mut Findings) -> Option<Self>;

    /// Formats the value, or returns `None` if it is absent.
    fn to_text(&self) -> Option<String>;
}

impl<T: Setting> Field for T {
    const VALUE_FORMAT: &'static str = T::VALUE_FORMAT;

    fn read(section: &Section, spec: &KeySpec, findings: &mut Findings) -> Option<Self> {
        let Some(entry) = section.entry(spec.name) else {
            if let Fallback::Value(text) = spec.fallback {
                return T::parse(text).ok();
            }
            let title = &section.title;
            let text = format!(
                "[{title}] has no `{}`; expected {}",
                spec.name,
                T::VALUE_FORMAT
            );
            findings.add(section.line, text);
            return None;
        };
        parse_entry(entry, spec, findings)
    }

    fn to_text(&self) -> Option<String> {
        Some(Setting::to_text(self))
    }
}

impl<T: Setting> Field for Option<T> {
    const VALUE_FORMAT: &'static str = T::VALUE_FORMAT;

    fn read(section: &Section, spec: &KeySpec, findings: &mut Findings) -> Option<Self> {
        match section.entry(spec.name) {
            Some(entry) => parse_entry(entry, spec, findings).map(Some),
            None => Some(None),
        }
    }

    fn to_text(&self) -> Option<String> {
        self.as_ref().map(Setting::to_text)
    }
}

fn parse_entry<T: Setting>(entry: &Entry, spec: &KeySpec, findings: &mut Findings) -> Option<T> {
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
    // Malformed bounds are ignored here; a test checks that all bounds parse.
    if T::parse(low).is_ok_and(|low| value < low) {
        return Err(format!("too low; expected {low} to {high}"));
    }
    if T::parse(high).is_ok_and(|high| value > high) {
        return Err(format!("too high; expected {low} to {high}"));
    }
    Ok(value)
}

/// One section of a file, before its values are parsed.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Section {
    /// The line number of the title, from 1.
    pub line: usize,
    /// The text between the brackets.
    pub title: String,
    /// The `key = value` lines, in the order of the file.
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

    /// Returns the first word of the title: `service` for `[service chat]`.
    #[must_use]
    pub fn kind(&self) -> &str {
        self.title.split(' ').next().unwrap_or_default()
    }

    /// Returns the title after its first word: `chat` for `[service chat]`.
    #[must_use]
    pub fn name(&self) -> &str {
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

    /// Parses the section and reports unknown and duplicate keys.
    pub fn read<T: TypedSection>(&self, findings: &mut Findings) -> Option<T> {
        self.check_keys(T::KEYS, findings);
        T::read(self, findings)
    }

    fn check_keys(&self, known: &[KeySpec], findings: &mut Findings) {
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
    if let Some(name) = closest_match(key, names.clone()) {
        return format!("{problem}; did you mean `{name}`?");
    }
    let names: Vec<_> = names.collect();
    format!("{problem}; expected one of {}", names.join(", "))
}

/// Returns the entry of `names` that `word` is most likely a misspelling of, if any.
pub fn closest_match<'a>(
    word: &str,
    names: impl Iterator<Item = &'a str> + Clone,
) -> Option<&'a str> {
    // The edit distance takes quadratic time, and no valid name is longer than this.
    const MAX_WORD_BYTES: usize = 64;
    const MIN_SIMILARITY: f64 = 0.6;
    if word.len() > MAX_WORD_BYTES {
        return None;
    }
    let word = word.to_lowercase().replace('_', "-");
    let has_prefix = |name: &&str| word.len() >= 3 && name.starts_with(&word);
    if let Some(name) = names.clone().find(has_prefix) {
        return Some(name);
    }
    names
        .map(|name| (strsim::normalized_damerau_levenshtein(&word, name), name))
        .filter(|(similarity, _)| *similarity >= MIN_SIMILARITY)
        .max_by(|a, b| a.0.total_cmp(&b.0))
        .map(|(_, name)| name)
}

/// Declares the struct of a section and implements [`TypedSection`] for it.
///
/// The doc comment of a field is also the description of its key in the generated documentation.
macro_rules! section {
    (
        $(#[$meta:meta])*
        pub struct $section:ident {
            $(
                $(#[doc = $description:literal])+
                $field:ident: $type:ty = $key:literal $fallback:ident $(($default:literal))?
                    $([$low:literal to $high:literal])?,
            )+
        }
    ) => {
        $(#[$meta])*
        #[derive(Clone, Debug, PartialEq)]
        pub struct $section {
            $( $(#[doc = $description])+ pub $field: $type, )+
        }

        impl $crate::ini::TypedSection for $section {
            const KEYS: &'static [$crate::ini::KeySpec] = &[
                $( $crate::ini::KeySpec {
                    name: $key,
                    value_format: <$type as $crate::ini::Field>::VALUE_FORMAT,
                    fallback: $crate::ini::Fallback::$fallback $(($default))?,
                    bounds: $crate::ini::section!(@bounds $($low, $high)?),
                    description: concat!($($description),+),
                }, )+
            ];

            fn read(
                section: &$crate::ini::Section,
                findings: &mut $crate::ini::Findings,
            ) -> Option<Self> {
                let mut specs = <Self as $crate::ini::TypedSection>::KEYS.iter();
                // All fields are parsed before `?` returns on a faulty one, so that every finding
                // is reported.
                $( let $field = specs.next().and_then(|spec| {
                    <$type as $crate::ini::Field>::read(section, spec, findings)
                }); )+
                Some(Self { $( $field: $field?, )+ })
            }

            fn values(&self) -> Vec<(&'static str, String)> {
                let mut values = Vec::new();
                $( if let Some(text) = $crate::ini::Field::to_text(&self.$field) {
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
