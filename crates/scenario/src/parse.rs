//! The parser of scenario files, which have one statement per line.

use std::collections::BTreeSet;
use std::time::Duration;

use derive_more::{Display, Error};
use winnow::Result;
use winnow::ascii::{dec_uint, space0};
use winnow::combinator::{alt, delimited, eof, not, opt, preceded, repeat, terminated};
use winnow::error::ContextError;
use winnow::prelude::*;
use winnow::token::{one_of, take_till, take_while};

use crate::ast::{
    Action, CacheEventMode, ConfigServiceMode, Expectation, Located, OUTCOMES, RequestSpec,
    STATEMENTS, Scenario, ServiceDef, ServiceKind,
};

/// The longest time that a scenario may contain, which limits how long a simulation runs.
const MAX_TIME: Duration = Duration::from_hours(1);

/// The maximum number of VMs, or of upstreams or slots of a service, so that a typing error in a
/// scenario does not exhaust memory.
const MAX_COUNT: u32 = 64;

/// An error in a scenario file, or an expectation or requirement that a run did not meet.
#[derive(Clone, Debug, Display, Error, PartialEq, Eq)]
#[display("{file}:{line}: {message}")]
pub struct Diagnostic {
    /// The name of the scenario file.
    pub file: String,
    /// The line in the file, from 1.
    pub line: usize,
    /// What was expected and what was found instead.
    pub message: String,
}

fn word<'s>(input: &mut &'s str) -> Result<&'s str> {
    let part = |c: char| c.is_ascii_alphanumeric() || matches!(c, '-' | '_' | '.' | '/');
    terminated(take_while(1.., part), space0).parse_next(input)
}

fn name(input: &mut &str) -> Result<String> {
    word.map(str::to_owned).parse_next(input)
}

fn names(input: &mut &str) -> Result<Vec<String>> {
    repeat(1.., name).parse_next(input)
}

fn keyword<'s>(expected: &'static str) -> impl Parser<&'s str, (), ContextError> {
    word.verify(move |found: &str| found == expected).void()
}

fn number(input: &mut &str) -> Result<u32> {
    let end = not(one_of(|c: char| c.is_ascii_alphanumeric()));
    delimited((), dec_uint, (end, space0)).parse_next(input)
}

fn count(input: &mut &str) -> Result<u32> {
    number.verify(|n| *n <= MAX_COUNT).parse_next(input)
}

fn percent(input: &mut &str) -> Result<u32> {
    terminated(dec_uint, ("%", space0))
        .verify(|n| *n <= 100)
        .parse_next(input)
}

fn time(input: &mut &str) -> Result<Duration> {
    let whole: u32 = dec_uint.parse_next(input)?;
    let part: Option<&str> = opt(preceded(
        '.',
        take_while(1..=3, |c: char| c.is_ascii_digit()),
    ))
    .parse_next(input)?;
    let unit: u64 = alt(("ms".value(1_000), "s".value(1_000_000))).parse_next(input)?;
    let mut us = u64::from(whole) * unit;
    if let Some(part) = part {
        let scaled: u64 = format!("{part:0<3}").parse().unwrap_or(0);
        us += scaled * unit / 1_000;
    }
    let end = not(one_of(|c: char| c.is_ascii_alphanumeric()));
    (end, space0).void().parse_next(input)?;
    Some(Duration::from_micros(us))
        .filter(|time| *time <= MAX_TIME)
        .ok_or_else(ContextError::new)
}

fn text(input: &mut &str) -> Result<String> {
    delimited('"', take_till(0.., '"'), ('"', space0))
        .map(str::to_owned)
        .parse_next(input)
}

fn flag(input: &mut &str, expected: &'static str) -> Result<bool> {
    opt(keyword(expected))
        .map(|found| found.is_some())
        .parse_next(input)
}

fn send(input: &mut &str) -> Result<Action> {
    let name = name(input)?;
    let vm = preceded(keyword("to"), self::name).parse_next(input)?;
    let service = preceded(keyword("service"), self::name).parse_next(input)?;
    let prompt = opt(preceded(keyword("prompt"), number)).parse_next(input)?;
    let tokens = opt(preceded(keyword("tokens"), number)).parse_next(input)?;
    let key = opt(preceded(keyword("key"), self::name)).parse_next(input)?;
    Ok(Action::Send(RequestSpec {
        name,
        vm,
        service,
        prompt: prompt.unwrap_or(400).max(1),
        tokens: tokens.unwrap_or(50).max(1),
        key,
        poison: flag(input, "poison")?,
    }))
}

fn resend(input: &mut &str) -> Result<Action> {
    let (old, vm, new) = (
        name,
        preceded(keyword("to"), name),
        preceded(keyword("as"), name),
    )
        .parse_next(input)?;
    Ok(Action::Resend(old, vm, new))
}

fn partition(input: &mut &str) -> Result<Action> {
    let (left, right) = (names, preceded(('|', space0), names)).parse_next(input)?;
    Ok(Action::Partition(left, right))
}

fn network(input: &mut &str) -> Result<Action> {
    let (loss_percent, late_percent, double_percent) = (
        preceded(keyword("loss"), percent),
        preceded(keyword("late"), percent),
        preceded(keyword("double"), percent),
    )
        .parse_next(input)?;
    Ok(Action::Network {
        loss_percent,
        late_percent,
        double_percent,
    })
}

fn events(input: &mut &str) -> Result<Action> {
    let well = keyword("well").value(CacheEventMode::Well);
    let late = keyword("late").value(CacheEventMode::Late);
    let lost = keyword("lost").value(CacheEventMode::Lost);
    alt((well, late, lost))
        .map(Action::Events)
        .parse_next(input)
}

fn configuration(input: &mut &str) -> Result<Action> {
    let well = keyword("well").value(ConfigServiceMode::Well);
    let down = keyword("down").value(ConfigServiceMode::Down);
    let stale = keyword("stale").value(ConfigServiceMode::Stale);
    alt((well, down, stale))
        .map(Action::Configuration)
        .parse_next(input)
}

fn action(first_word: &str, input: &mut &str) -> Result<Action> {
    match first_word {
        "send" => send(input),
        "cancel" => name(input).map(Action::Cancel),
        "resend" => resend(input),
        "silence" => name(input).map(Action::Silence),
        "kill" => name(input).map(Action::Kill),
        "start" => name(input).map(Action::Start),
        "pause" => name(input).map(Action::Pause),
        "wake" => name(input).map(Action::Wake),
        "stop" => name(input).map(Action::Stop),
        "partition" => partition(input),
        "heal" => Ok(Action::Heal),
        "network" => network(input),
        "delay" => Ok(Action::Delay(name(input)?, time(input)?)),
        "lose-cancels" => Ok(Action::LoseCancels(name(input)?, number(input)?)),
        "repeat-tokens" => name(input).map(Action::RepeatTokens),
        "skip-token" => name(input).map(Action::SkipToken),
        "events" => events(input),
        "configuration" => configuration(input),
        "publish" => Ok(Action::Publish(name(input)?, text(input)?)),
        "delete" => name(input).map(Action::Delete),
        "leave" => name(input).map(Action::Leave),
        "return" => name(input).map(Action::Return),
        "list-lag" => Ok(Action::ListLag(name(input)?, time(input)?)),
        "unlist" => name(input).map(Action::Unlist),
        "stall" => name(input).map(Action::Stall),
        "unstall" => name(input).map(Action::Unstall),
        _ => Err(ContextError::new()),
    }
}

fn expect(first_word: &str, input: &mut &str) -> Result<Expectation> {
    let by = |input: &mut &str| preceded(keyword("by"), time).parse_next(input);
    match first_word {
        "held" => {
            keyword("zero").parse_next(input)?;
            by(input).map(Expectation::HeldZero)
        }
        "revision" => {
            let number = number(input)? as usize;
            let name = preceded(keyword("of"), name).parse_next(input)?;
            Ok(Expectation::Revision {
                number,
                name,
                by: by(input)?,
            })
        }
        "no-work" => {
            let on = preceded(keyword("on"), name).parse_next(input)?;
            let after = preceded(keyword("after"), time).parse_next(input)?;
            Ok(Expectation::NoWork { on, after })
        }
        "exited" => Ok(Expectation::Exited {
            vm: name(input)?,
            by: by(input)?,
        }),
        request => outcome(request.to_owned(), input),
    }
}

fn outcome(name: String, input: &mut &str) -> Result<Expectation> {
    match word(input)? {
        "answered" => Ok(Expectation::Answered(name)),
        "closed" => Ok(Expectation::Closed(name)),
        "ended" => Ok(Expectation::Ended(name)),
        "refused" => {
            let not_run = alt((
                keyword("not-run").value(true),
                keyword("unknown").value(false),
            ));
            let not_run = { not_run }.parse_next(input)?;
            Ok(Expectation::Refused { name, not_run })
        }
        "runs" => {
            let max_runs = preceded((keyword("at"), keyword("most")), number).parse_next(input)?;
            Ok(Expectation::Runs { name, max_runs })
        }
        _ => Err(ContextError::new()),
    }
}

fn model_service(input: &mut &str) -> Result<ServiceDef> {
    let name = name(input)?;
    let patient = alt((
        keyword("patient").value(true),
        keyword("interactive").value(false),
    ));
    let patient = { patient }.parse_next(input)?;
    let prefill = preceded(keyword("prefill"), count).parse_next(input)?;
    let decode = preceded(keyword("decode"), count).parse_next(input)?;
    let slots = preceded(keyword("slots"), count).parse_next(input)?;
    let step = opt(preceded(keyword("step"), time)).parse_next(input)?;
    let step = step.unwrap_or(Duration::from_millis(5));
    Ok(ServiceDef {
        name,
        kind: ServiceKind::Model {
            patient,
            prefill,
            decode,
            slots,
            step: step.max(Duration::from_millis(1)),
        },
        once: flag(input, "once")?,
    })
}

fn plain_service(input: &mut &str) -> Result<ServiceDef> {
    let name = name(input)?;
    let upstreams = preceded(keyword("upstreams"), count).parse_next(input)?;
    let call_time = preceded(keyword("takes"), time).parse_next(input)?;
    let once = flag(input, "once")?;
    Ok(ServiceDef {
        name,
        kind: ServiceKind::Plain {
            upstreams,
            call_time,
        },
        once,
    })
}

fn statement(line: usize, scenario: &mut Scenario, input: &mut &str) -> Result<()> {
    match word(input)? {
        "requirement" => scenario.requirements.push(name(input)?),
        "seed" => scenario.seed = u64::from(number(input)?),
        "zones" => scenario.zones = names(input)?,
        "vms" => scenario.vms = count(input)?.max(1) as usize,
        "retention" => scenario.retention = time(input)?,
        "service" => scenario.services.push(model_service(input)?),
        "plain" => scenario.services.push(plain_service(input)?),
        "document" => scenario.documents.push((name(input)?, text(input)?)),
        "at" => {
            let at = time(input)?;
            let first_word = word(input)?;
            let item = (at, action(first_word, input)?);
            scenario.actions.push(Located { line, item });
        }
        "expect" => {
            let first_word = word(input)?;
            let item = expect(first_word, input)?;
            scenario.expectations.push(Located { line, item });
        }
        _ => return Err(ContextError::new()),
    }
    Ok(())
}

/// Returns the syntax that was expected of an invalid `line`.
///
/// The first ten entries of [`STATEMENTS`] are statements; the others are the actions of `at`.
fn expected(line: &str) -> String {
    let words: Vec<&str> = line.split_whitespace().collect();
    let syntax_of = |first_word: &str| STATEMENTS.iter().find(|(name, _)| *name == first_word);
    let alternatives = |syntaxes: &[(&str, &str)]| {
        let first_words: Vec<&str> = syntaxes.iter().map(|(first_word, _)| *first_word).collect();
        first_words.join(", ")
    };
    match words.first().copied().unwrap_or_default() {
        "at" => match words.get(2).and_then(|first_word| syntax_of(first_word)) {
            Some((_, syntax)) => format!("at TIME {syntax}"),
            None => format!("at TIME and one of {}", alternatives(&STATEMENTS[10..])),
        },
        "expect" => {
            let mut named = OUTCOMES.iter();
            let found =
                named.find(|(first_word, _)| words[1..].iter().take(2).any(|w| w == first_word));
            match found {
                Some((_, syntax)) => (*syntax).to_owned(),
                None => format!("expect with one of {}", alternatives(OUTCOMES)),
            }
        }
        first_word => match syntax_of(first_word) {
            Some((_, syntax)) => (*syntax).to_owned(),
            None => format!("one of {}", alternatives(&STATEMENTS[..10])),
        },
    }
}

/// Parses a scenario.
///
/// # Errors
///
/// Returns a diagnostic for every line that is not a valid statement. If all lines are valid,
/// returns one for every undefined or duplicate name that it finds and every missing mandatory
/// statement.
pub fn parse(file: &str, source: &str) -> std::result::Result<Scenario, Vec<Diagnostic>> {
    let mut scenario = Scenario {
        file: file.to_owned(),
        seed: 1,
        vms: 8,
        retention: Duration::from_mins(1),
        zones: vec!["zone-a".to_owned(), "zone-b".to_owned()],
        ..Scenario::default()
    };
    let mut diagnostics = Vec::new();
    for (index, raw_line) in source.lines().enumerate() {
        let line = index + 1;
        let code = strip_comment(raw_line).trim();
        if code.is_empty() {
            continue;
        }
        let mut rest = code;
        let parsed = statement(line, &mut scenario, &mut rest)
            .and_then(|()| eof.void().parse_next(&mut rest));
        if parsed.is_err() {
            let message = format!("`{code}`: expected `{}`", expected(code));
            diagnostics.push(Diagnostic {
                file: file.to_owned(),
                line,
                message,
            });
        }
    }
    if diagnostics.is_empty() {
        crate::names::check(&scenario, &mut diagnostics);
    }
    if diagnostics.is_empty() {
        Ok(scenario)
    } else {
        Err(diagnostics)
    }
}

fn strip_comment(line: &str) -> &str {
    let mut quoted = false;
    let end = line.char_indices().find(|(_, c)| {
        quoted ^= *c == '"';
        *c == '#' && !quoted
    });
    end.map_or(line, |(at, _)| &line[..at])
}

/// Returns the first name that occurs a second time.
#[must_use]
pub fn first_duplicate<'s>(names: impl Iterator<Item = &'s str>) -> Option<&'s str> {
    let mut seen = BTreeSet::new();
    let mut names = names;
    names.find(|name| !seen.insert(*name))
}
