//! The parser of scenario files: one statement on each line.

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
    Act, Events, Expect, FORMS, Kind, Mode, OUTCOMES, Placed, Scenario, Send, ServiceDef,
};

/// The longest time that a scenario may name; keeps a run short.
const LONGEST: Duration = Duration::from_hours(1);

/// The most VMs or upstreams of one kind, so that a typing error does not exhaust memory.
const MOST: u32 = 64;

/// An error of a scenario with its place.
#[derive(Clone, Debug, Display, Error, PartialEq, Eq)]
#[display("{file}:{line}: {text}")]
pub struct Fault {
    /// The file.
    pub file: String,
    /// The line, from 1.
    pub line: usize,
    /// What was found and what was expected.
    pub text: String,
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

fn key<'s>(expected: &'static str) -> impl Parser<&'s str, (), ContextError> {
    word.verify(move |found: &str| found == expected).void()
}

fn number(input: &mut &str) -> Result<u32> {
    let end = not(one_of(|c: char| c.is_ascii_alphanumeric()));
    delimited((), dec_uint, (end, space0)).parse_next(input)
}

fn count(input: &mut &str) -> Result<u32> {
    number.verify(|n| *n <= MOST).parse_next(input)
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
        .filter(|time| *time <= LONGEST)
        .ok_or_else(ContextError::new)
}

fn text(input: &mut &str) -> Result<String> {
    delimited('"', take_till(0.., '"'), ('"', space0))
        .map(str::to_owned)
        .parse_next(input)
}

fn flag(input: &mut &str, expected: &'static str) -> Result<bool> {
    opt(key(expected))
        .map(|found| found.is_some())
        .parse_next(input)
}

fn send(i: &mut &str) -> Result<Act> {
    let name = name(i)?;
    let vm = preceded(key("to"), self::name).parse_next(i)?;
    let service = preceded(key("service"), self::name).parse_next(i)?;
    let prompt = opt(preceded(key("prompt"), number)).parse_next(i)?;
    let tokens = opt(preceded(key("tokens"), number)).parse_next(i)?;
    let key = opt(preceded(key("key"), self::name)).parse_next(i)?;
    Ok(Act::Send(Send {
        name,
        vm,
        service,
        prompt: prompt.unwrap_or(400).max(1),
        tokens: tokens.unwrap_or(50).max(1),
        key,
        poison: flag(i, "poison")?,
    }))
}

fn resend(i: &mut &str) -> Result<Act> {
    let (old, vm, new) =
        (name, preceded(key("to"), name), preceded(key("as"), name)).parse_next(i)?;
    Ok(Act::Resend(old, vm, new))
}

fn partition(i: &mut &str) -> Result<Act> {
    let (left, right) = (names, preceded(('|', space0), names)).parse_next(i)?;
    Ok(Act::Partition(left, right))
}

fn network(i: &mut &str) -> Result<Act> {
    let (loss, late, double) = (
        preceded(key("loss"), percent),
        preceded(key("late"), percent),
        preceded(key("double"), percent),
    )
        .parse_next(i)?;
    Ok(Act::Network { loss, late, double })
}

fn events(i: &mut &str) -> Result<Act> {
    let well = key("well").value(Events::Well);
    let late = key("late").value(Events::Late);
    let lost = key("lost").value(Events::Lost);
    alt((well, late, lost)).map(Act::Events).parse_next(i)
}

fn configuration(i: &mut &str) -> Result<Act> {
    let well = key("well").value(Mode::Well);
    let down = key("down").value(Mode::Down);
    let stale = key("stale").value(Mode::Stale);
    alt((well, down, stale))
        .map(Act::Configuration)
        .parse_next(i)
}

fn act(head: &str, i: &mut &str) -> Result<Act> {
    match head {
        "send" => send(i),
        "cancel" => name(i).map(Act::Cancel),
        "resend" => resend(i),
        "silence" => name(i).map(Act::Silence),
        "kill" => name(i).map(Act::Kill),
        "start" => name(i).map(Act::Start),
        "pause" => name(i).map(Act::Pause),
        "wake" => name(i).map(Act::Wake),
        "stop" => name(i).map(Act::Stop),
        "partition" => partition(i),
        "heal" => Ok(Act::Heal),
        "network" => network(i),
        "delay" => Ok(Act::Delay(name(i)?, time(i)?)),
        "lose-cancels" => Ok(Act::LoseCancels(name(i)?, number(i)?)),
        "repeat-tokens" => name(i).map(Act::RepeatTokens),
        "skip-token" => name(i).map(Act::SkipToken),
        "events" => events(i),
        "configuration" => configuration(i),
        "publish" => Ok(Act::Publish(name(i)?, text(i)?)),
        "delete" => name(i).map(Act::Delete),
        "leave" => name(i).map(Act::Leave),
        "return" => name(i).map(Act::Return),
        "list-lag" => Ok(Act::ListLag(name(i)?, time(i)?)),
        "stall" => name(i).map(Act::Stall),
        "unstall" => name(i).map(Act::Unstall),
        _ => Err(ContextError::new()),
    }
}

fn expect(head: &str, i: &mut &str) -> Result<Expect> {
    let by = |i: &mut &str| preceded(key("by"), time).parse_next(i);
    match head {
        "held" => {
            key("zero").parse_next(i)?;
            by(i).map(Expect::HeldZero)
        }
        "revision" => {
            let number = number(i)? as usize;
            let name = preceded(key("of"), name).parse_next(i)?;
            Ok(Expect::Revision {
                number,
                name,
                by: by(i)?,
            })
        }
        "no-work" => {
            let on = preceded(key("on"), name).parse_next(i)?;
            let after = preceded(key("after"), time).parse_next(i)?;
            Ok(Expect::NoWork { on, after })
        }
        "exited" => Ok(Expect::Exited {
            vm: name(i)?,
            by: by(i)?,
        }),
        request => outcome(request.to_owned(), i),
    }
}

fn outcome(name: String, i: &mut &str) -> Result<Expect> {
    match word(i)? {
        "answered" => Ok(Expect::Answered(name)),
        "closed" => Ok(Expect::Closed(name)),
        "ended" => Ok(Expect::Ended(name)),
        "refused" => {
            let not_run = alt((key("not-run").value(true), key("unknown").value(false)));
            let not_run = { not_run }.parse_next(i)?;
            Ok(Expect::Refused { name, not_run })
        }
        "runs" => {
            let most = preceded((key("at"), key("most")), number).parse_next(i)?;
            Ok(Expect::Runs { name, most })
        }
        _ => Err(ContextError::new()),
    }
}

fn model(i: &mut &str) -> Result<ServiceDef> {
    let name = name(i)?;
    let patient = alt((key("patient").value(true), key("interactive").value(false)));
    let patient = { patient }.parse_next(i)?;
    let prefill = preceded(key("prefill"), count).parse_next(i)?;
    let decode = preceded(key("decode"), count).parse_next(i)?;
    let slots = preceded(key("slots"), count).parse_next(i)?;
    let step = opt(preceded(key("step"), time)).parse_next(i)?;
    let step = step.unwrap_or(Duration::from_millis(5));
    Ok(ServiceDef {
        name,
        kind: Kind::Model {
            patient,
            prefill,
            decode,
            slots,
            step: step.max(Duration::from_millis(1)),
        },
        once: flag(i, "once")?,
    })
}

fn plain(i: &mut &str) -> Result<ServiceDef> {
    let name = name(i)?;
    let upstreams = preceded(key("upstreams"), count).parse_next(i)?;
    let takes = preceded(key("takes"), time).parse_next(i)?;
    let once = flag(i, "once")?;
    Ok(ServiceDef {
        name,
        kind: Kind::Plain { upstreams, takes },
        once,
    })
}

fn statement(line: usize, scenario: &mut Scenario, i: &mut &str) -> Result<()> {
    match word(i)? {
        "requirement" => scenario.requirements.push(name(i)?),
        "seed" => scenario.seed = u64::from(number(i)?),
        "zones" => scenario.zones = names(i)?,
        "vms" => scenario.vms = count(i)?.max(1) as usize,
        "retention" => scenario.retention = time(i)?,
        "service" => scenario.services.push(model(i)?),
        "plain" => scenario.services.push(plain(i)?),
        "document" => scenario.documents.push((name(i)?, text(i)?)),
        "at" => {
            let at = time(i)?;
            let head = word(i)?;
            let item = (at, act(head, i)?);
            scenario.acts.push(Placed { line, item });
        }
        "expect" => {
            let head = word(i)?;
            let item = expect(head, i)?;
            scenario.expects.push(Placed { line, item });
        }
        _ => return Err(ContextError::new()),
    }
    Ok(())
}

/// Returns the syntax that `line` should have had.
fn expected(line: &str) -> String {
    let words: Vec<&str> = line.split_whitespace().collect();
    let form = |head: &str| FORMS.iter().find(|(name, _)| *name == head);
    let known = |forms: &[(&str, &str)]| {
        let heads: Vec<&str> = forms.iter().map(|(head, _)| *head).collect();
        heads.join(", ")
    };
    match words.first().copied().unwrap_or_default() {
        "at" => match words.get(2).and_then(|head| form(head)) {
            Some((_, syntax)) => format!("at TIME {syntax}"),
            None => format!("at TIME and one of {}", known(&FORMS[10..])),
        },
        "expect" => {
            let mut named = OUTCOMES.iter();
            let found = named.find(|(head, _)| words[1..].iter().take(2).any(|w| w == head));
            match found {
                Some((_, syntax)) => (*syntax).to_owned(),
                None => format!("expect with one of {}", known(OUTCOMES)),
            }
        }
        head => match form(head) {
            Some((_, syntax)) => (*syntax).to_owned(),
            None => format!("one of {}", known(&FORMS[..10])),
        },
    }
}

/// Parses a scenario.
///
/// # Errors
///
/// Returns every line that is not a statement and every name that is not defined.
pub fn parse(file: &str, source: &str) -> std::result::Result<Scenario, Vec<Fault>> {
    let mut scenario = Scenario {
        file: file.to_owned(),
        seed: 1,
        vms: 8,
        retention: Duration::from_mins(1),
        zones: vec!["zone-a".to_owned(), "zone-b".to_owned()],
        ..Scenario::default()
    };
    let mut faults = Vec::new();
    for (index, whole) in source.lines().enumerate() {
        let line = index + 1;
        let code = strip_comment(whole).trim();
        if code.is_empty() {
            continue;
        }
        let mut rest = code;
        let parsed = statement(line, &mut scenario, &mut rest)
            .and_then(|()| eof.void().parse_next(&mut rest));
        if parsed.is_err() {
            let text = format!("`{code}`: expected `{}`", expected(code));
            faults.push(Fault {
                file: file.to_owned(),
                line,
                text,
            });
        }
    }
    if faults.is_empty() {
        crate::names::check(&scenario, &mut faults);
    }
    if faults.is_empty() {
        Ok(scenario)
    } else {
        Err(faults)
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

/// Names that a scenario defines more than once.
#[must_use]
pub fn doubled<'s>(names: impl Iterator<Item = &'s str>) -> Option<&'s str> {
    let mut seen = BTreeSet::new();
    let mut names = names;
    names.find(|name| !seen.insert(*name))
}
