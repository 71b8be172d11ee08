//! Reads traces and reports what is wrong in them.

use std::time::Duration;

use coord::sched::{Role, SchedOptions};
use coord::time::Time;

use super::{Arrival, CellSpec, Header, Line, ServiceSpec, Trace, VERSION};
use crate::bench::arrivals::{Request, VMS};
use crate::bench::case::{Case, Cell, Fault, Incident, IncidentKind, Kind, Load, TOKEN_BYTES};
use crate::bench::flow::OWNER;
use crate::ini::{Finding, Findings, quote};

/// Time after `seconds` in which an arrival may still stand, in seconds: the run drains so long.
const DRAIN: u64 = 30;

/// Highest number of tokens, of engines of one role, and of any time in microseconds.
const TOKENS: u32 = 10_000_000;
const ENGINES: usize = 1_000;
const TIME: u64 = 86_400_000_000;

/// Characters of a JSON error that a finding repeats.
const ERROR_LIMIT: usize = 300;

/// Reads a trace; all findings of the file are returned together.
pub fn parse(file: &str, text: &str) -> Result<Trace, Vec<Finding>> {
    let mut findings = Findings::new(file);
    let mut trace: Option<Trace> = None;
    for (index, line) in text.lines().enumerate() {
        if line.trim().is_empty() {
            continue;
        }
        let result = match (serde_json::from_str(line), &mut trace) {
            (Err(error), _) => Err(describe(&error)),
            (Ok(Line::Header(_)), Some(_)) => Err("the header is given twice".into()),
            (Ok(Line::Header(header)), None) => read_header(header).map(|t| trace = Some(t)),
            // Without a usable header, services and engines are unknown.
            (Ok(_), None) => {
                if findings.is_empty() {
                    findings.add(index + 1, "expected the header before all other lines");
                }
                continue;
            }
            (Ok(Line::Arrival(arrival)), Some(trace)) => read_arrival(trace, arrival),
            (Ok(Line::Fault(incident)), Some(trace)) => read_incident(trace, incident),
        };
        if let Err(text) = result {
            findings.add(index + 1, text);
        }
    }
    if findings.is_empty() && trace.as_ref().is_none_or(|t| t.requests.is_empty()) {
        findings.add(1, "the trace is empty; expected a header and arrivals");
    }
    match trace {
        Some(trace) if findings.is_empty() => Ok(trace),
        _ => Err(findings.into_list()),
    }
}

/// Returns a JSON error with its column; its line is always the first of one.
fn describe(error: &serde_json::Error) -> String {
    let text = error.to_string();
    let text = text.split(" at line ").next().unwrap_or_default();
    let text: String = text
        .chars()
        .take(ERROR_LIMIT)
        .map(|c| if c.is_control() { ' ' } else { c })
        .collect();
    format!("column {}: {text}", error.column())
}

/// Fails with the name of the first check that does not hold.
fn all(checks: &[(bool, &str)]) -> Result<(), String> {
    match checks.iter().find(|(holds, _)| !holds) {
        Some((_, expected)) => Err(format!("expected {expected}")),
        None => Ok(()),
    }
}

fn read_header(header: Header) -> Result<Trace, String> {
    let condition = header.condition;
    let conditions = [Fault::None, Fault::StaleReports, Fault::LostEvents];
    let link = header.link_bytes_per_s;
    all(&[
        (header.version == VERSION, "version 1"),
        (
            (1..=86_400).contains(&header.seconds),
            "seconds from 1 to 86400",
        ),
        (
            header.warm_seconds < header.seconds,
            "warm_seconds below seconds",
        ),
        (
            conditions.contains(&condition),
            "condition none, stale-reports or lost-events",
        ),
        (
            (1..=100).contains(&header.centres.len()),
            "1 to 100 centres",
        ),
        (
            (1e6..=1e15).contains(&link),
            "link_bytes_per_s from 1e6 to 1e15",
        ),
        ((1..=100).contains(&header.cells.len()), "1 to 100 cells"),
    ])?;
    let cells = header.cells.into_iter().map(read_cell);
    let cells: Vec<Cell> = cells.collect::<Result<_, _>>()?;
    let mut seen = std::collections::BTreeSet::new();
    let mut kinds = cells.iter().flat_map(|c| &c.kinds);
    if let Some(kind) = kinds.find(|k| !seen.insert((k.name.clone(), k.class))) {
        return Err(format!(
            "service {} is given twice in one class",
            quote(&kind.name)
        ));
    }
    let case = Case {
        name: header.name,
        cells,
        centres: header.centres,
        load: Load::Open(0),
        fault: condition,
        incidents: Some(Vec::new()),
        seconds: header.seconds,
        warm: header.warm_seconds,
        organisations: 0,
        link,
        fixed: false,
    };
    Ok(Trace {
        seed: header.seed,
        case,
        requests: Vec::new(),
    })
}

fn read_cell(spec: CellSpec) -> Result<Cell, String> {
    let count = |(_, n): &(Role, usize)| (1..=ENGINES).contains(n);
    all(&[
        (
            (1..=100).contains(&spec.engines.len()),
            "1 to 100 groups of engines",
        ),
        (
            spec.engines.iter().all(count),
            "1 to 1000 engines in each group",
        ),
        (
            (1..=100).contains(&spec.services.len()),
            "1 to 100 services in each cell",
        ),
        (
            (1..=60_000_000).contains(&spec.step_us),
            "step_us from 1 to 60000000",
        ),
        (spec.prefill_rate > 0, "prefill_rate above 0"),
        (spec.link_rate >= 1_000_000, "link_rate from 1000000"),
        (
            (1..=TOKENS).contains(&spec.block_tokens),
            "block_tokens from 1 to 10000000",
        ),
        (
            spec.cache_blocks <= TOKENS as usize,
            "cache_blocks up to 10000000",
        ),
    ])?;
    let options = SchedOptions {
        decode_step: Duration::from_micros(spec.step_us),
        prefill_rate: spec.prefill_rate,
        link_rate: spec.link_rate,
        token_bytes: TOKEN_BYTES,
        block_tokens: spec.block_tokens,
        cache_blocks: spec.cache_blocks,
        ..SchedOptions::default()
    };
    let kinds = spec.services.into_iter().map(read_service);
    Ok(Cell {
        kinds: kinds.collect::<Result<_, _>>()?,
        engines: spec.engines,
        options,
    })
}

fn read_service(spec: ServiceSpec) -> Result<Kind, String> {
    all(&[
        (!spec.name.is_empty(), "a service name"),
        (
            (1..=TIME).contains(&spec.ttft_us),
            "ttft_us from 1 to 86400000000",
        ),
        (
            (1..=TIME).contains(&spec.itl_us),
            "itl_us from 1 to 86400000000",
        ),
        (spec.output_tokens <= TOKENS, "output_tokens up to 10000000"),
    ])?;
    Ok(Kind {
        name: spec.name,
        class: spec.class,
        share: 0.0,
        groups: 0,
        shared: 0,
        unique: 0,
        output: spec.output_tokens,
        ttft: Duration::from_micros(spec.ttft_us),
        itl: Duration::from_micros(spec.itl_us),
    })
}

fn read_arrival(trace: &mut Trace, arrival: Arrival) -> Result<(), String> {
    let at = Time::from_micros(arrival.at_us);
    let end = (trace.case.seconds + DRAIN) * 1_000_000;
    let found = |c: &Cell| {
        let same = |k: &Kind| k.name == arrival.service && k.class == arrival.class;
        c.kinds.iter().position(same)
    };
    let mut cells = trace.case.cells.iter().enumerate();
    let place = cells.find_map(|(i, c)| Some((i, found(c)?)));
    let Some((cell, kind)) = place else {
        let (name, class) = (quote(&arrival.service), arrival.class);
        return Err(format!(
            "the header has no service {name} of class {class:?}"
        ));
    };
    let blocks = arrival.prompt_tokens / trace.case.cells[cell].options.block_tokens;
    let factor = |f: f64| (0.01..=100.0).contains(&f);
    let last = trace.requests.last().map_or(Time::ZERO, |r| r.at);
    all(&[
        (
            (1..=end).contains(&arrival.at_us),
            "at_us from 1 to 30 s after the end",
        ),
        (at >= last, "at_us not before the previous arrival"),
        (arrival.vm < VMS, "vm from 0 to 7"),
        (
            (1..=TOKENS).contains(&arrival.prompt_tokens),
            "prompt_tokens from 1 to 10000000",
        ),
        (
            (1..=TOKENS).contains(&arrival.output_tokens),
            "output_tokens from 1 to 10000000",
        ),
        (
            arrival.prefix.len() <= blocks as usize,
            "one prefix hash for each whole block at most",
        ),
        (factor(arrival.step_factor), "step_factor from 0.01 to 100"),
        (
            factor(arrival.prefill_factor),
            "prefill_factor from 0.01 to 100",
        ),
        (
            arrival.cancel_us.is_none_or(|t| t <= TIME),
            "cancel_us up to 86400000000",
        ),
    ])?;
    trace.requests.push(Request {
        at,
        cell,
        kind,
        vm: arrival.vm,
        organisation: arrival.organisation,
        prefix: arrival.prefix,
        prompt: arrival.prompt_tokens,
        shared: 0,
        output: arrival.output_tokens,
        step: arrival.step_factor,
        prefill: arrival.prefill_factor,
        leaves: arrival.cancel_us.map(Duration::from_micros),
    });
    Ok(())
}

fn read_incident(trace: &mut Trace, incident: Incident) -> Result<(), String> {
    use IncidentKind::{DataCentreDies, DataCentreReturns, UpstreamDies, UpstreamReturns, VmDies};
    let case = &mut trace.case;
    let name = incident.name.as_str();
    let listed = case.incidents.get_or_insert_default();
    let known = match incident.kind {
        UpstreamDies | UpstreamReturns => case.cells.iter().any(|c| has_engine(c, name)),
        DataCentreDies | DataCentreReturns => case.centres.iter().any(|c| **c == *name),
        VmDies => name == format!("vm-{OWNER}"),
    };
    let again = incident.kind == VmDies && listed.iter().any(|i| i.kind == VmDies);
    if !known {
        return Err(format!("{:?}: {} is unknown", incident.kind, quote(name)));
    }
    all(&[
        (incident.at.as_micros() <= TIME, "at_us up to 86400000000"),
        (!again, "at most one death of the owner's VM"),
    ])?;
    listed.push(incident);
    Ok(())
}

/// Returns whether the cell has the engine: its first service's name and a number.
fn has_engine(cell: &Cell, name: &str) -> bool {
    let count: usize = cell.engines.iter().map(|(_, n)| n).sum();
    (0..count).any(|i| format!("{}-{i}", cell.kinds[0].name) == name)
}
