//! Parses and validates traces.

use std::time::Duration;

use coord::sched::{Role, SchedOptions};
use coord::time::Time;

use super::{Arrival, CellSpec, Header, Line, ServiceSpec, Trace, VERSION};
use crate::bench::arrivals::{ENTRY_VMS, Request};
use crate::bench::case::{
    Case, Cell, Fault, Incident, IncidentKind, KV_BYTES_PER_TOKEN, Load, Workload,
};
use crate::bench::engine_calls::OWNER_VM;
use crate::ini::{Finding, Findings, quote};

/// Time after the end of the run up to which an arrival is accepted. It equals the drain time of
/// the simulation.
const DRAIN_SECONDS: u64 = 30;

/// Highest accepted number of tokens, and of cache blocks.
const MAX_TOKENS: u32 = 10_000_000;

/// Highest accepted number of engines in a group.
const MAX_ENGINES: usize = 1_000;

/// Highest accepted value of a time: one day.
const MAX_TIME_US: u64 = 86_400_000_000;

/// Maximum length of the JSON error that a finding quotes.
const MAX_ERROR_CHARS: usize = 300;

/// Parses a trace. On failure, all findings in the file are returned.
pub fn parse(file: &str, text: &str) -> Result<Trace, Vec<Finding>> {
    let mut findings = Findings::new(file);
    let mut trace: Option<Trace> = None;
    for (index, line) in text.lines().enumerate() {
        if line.trim().is_empty() {
            continue;
        }
        let result = match (serde_json::from_str(line), &mut trace) {
            (Err(error), _) => Err(describe_json_error(&error)),
            (Ok(Line::Header(_)), Some(_)) => Err("the header is given twice".into()),
            (Ok(Line::Header(header)), None) => read_header(header).map(|t| trace = Some(t)),
            // Other lines cannot be checked without a valid header, which defines the services
            // and engines.
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

/// Describes a JSON error with its column. Its line number is left out, because each line of the
/// file is parsed separately.
fn describe_json_error(error: &serde_json::Error) -> String {
    let text = error.to_string();
    let text = text.split(" at line ").next().unwrap_or_default();
    let text: String = text
        .chars()
        .take(MAX_ERROR_CHARS)
        .map(|c| if c.is_control() { ' ' } else { c })
        .collect();
    format!("column {}: {text}", error.column())
}

/// Fails with the description of the first check that does not hold.
fn check_all(checks: &[(bool, &str)]) -> Result<(), String> {
    match checks.iter().find(|(holds, _)| !holds) {
        Some((_, expected)) => Err(format!("expected {expected}")),
        None => Ok(()),
    }
}

fn read_header(header: Header) -> Result<Trace, String> {
    let condition = header.condition;
    let conditions = [Fault::None, Fault::StaleReports, Fault::LostEvents];
    let link_rate = header.link_bytes_per_s;
    check_all(&[
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
            (1e6..=1e15).contains(&link_rate),
            "link_bytes_per_s from 1e6 to 1e15",
        ),
        ((1..=100).contains(&header.cells.len()), "1 to 100 cells"),
    ])?;
    let cells = header.cells.into_iter().map(read_cell);
    let cells: Vec<Cell> = cells.collect::<Result<_, _>>()?;
    let mut seen = std::collections::BTreeSet::new();
    let mut workloads = cells.iter().flat_map(|c| &c.mix);
    if let Some(workload) = workloads.find(|k| !seen.insert((k.name.clone(), k.class))) {
        return Err(format!(
            "service {} is given twice in one class",
            quote(&workload.name)
        ));
    }
    let case = Case {
        name: header.name,
        cells,
        centres: header.centres,
        load: Load::OpenLoop(0),
        fault: condition,
        incidents: Some(Vec::new()),
        seconds: header.seconds,
        warm_seconds: header.warm_seconds,
        organisations: 0,
        link_rate,
        fixed_lengths: false,
    };
    Ok(Trace {
        seed: header.seed,
        case,
        requests: Vec::new(),
    })
}

fn read_cell(spec: CellSpec) -> Result<Cell, String> {
    let count = |(_, n): &(Role, usize)| (1..=MAX_ENGINES).contains(n);
    check_all(&[
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
            (1..=MAX_TOKENS).contains(&spec.block_tokens),
            "block_tokens from 1 to 10000000",
        ),
        (
            spec.cache_blocks <= MAX_TOKENS as usize,
            "cache_blocks up to 10000000",
        ),
    ])?;
    let options = SchedOptions {
        decode_step: Duration::from_micros(spec.step_us),
        prefill_rate: spec.prefill_rate,
        link_rate: spec.link_rate,
        token_bytes: KV_BYTES_PER_TOKEN,
        block_tokens: spec.block_tokens,
        cache_blocks: spec.cache_blocks,
        ..SchedOptions::default()
    };
    let workloads = spec.services.into_iter().map(read_service);
    Ok(Cell {
        mix: workloads.collect::<Result<_, _>>()?,
        engines: spec.engines,
        options,
    })
}

fn read_service(spec: ServiceSpec) -> Result<Workload, String> {
    check_all(&[
        (!spec.name.is_empty(), "a service name"),
        (
            (1..=MAX_TIME_US).contains(&spec.ttft_us),
            "ttft_us from 1 to 86400000000",
        ),
        (
            (1..=MAX_TIME_US).contains(&spec.itl_us),
            "itl_us from 1 to 86400000000",
        ),
        (
            spec.output_tokens <= MAX_TOKENS,
            "output_tokens up to 10000000",
        ),
    ])?;
    Ok(Workload {
        name: spec.name,
        class: spec.class,
        share: 0.0,
        prefixes: 0,
        shared: 0,
        unique: 0,
        output: spec.output_tokens,
        ttft_target: Duration::from_micros(spec.ttft_us),
        itl_target: Duration::from_micros(spec.itl_us),
    })
}

fn read_arrival(trace: &mut Trace, arrival: Arrival) -> Result<(), String> {
    let at = Time::from_micros(arrival.at_us);
    let end = (trace.case.seconds + DRAIN_SECONDS) * 1_000_000;
    let position = |c: &Cell| {
        let matches = |k: &Workload| k.name == arrival.service && k.class == arrival.class;
        c.mix.iter().position(matches)
    };
    let mut cells = trace.case.cells.iter().enumerate();
    let indices = cells.find_map(|(i, c)| Some((i, position(c)?)));
    let Some((cell, workload)) = indices else {
        let (name, class) = (quote(&arrival.service), arrival.class);
        return Err(format!(
            "the header has no service {name} of class {class:?}"
        ));
    };
    let blocks = arrival.prompt_tokens / trace.case.cells[cell].options.block_tokens;
    let factor = |f: f64| (0.01..=100.0).contains(&f);
    let last = trace.requests.last().map_or(Time::ZERO, |r| r.at);
    check_all(&[
        (
            (1..=end).contains(&arrival.at_us),
            "at_us from 1 to 30 s after the end",
        ),
        (at >= last, "at_us not before the previous arrival"),
        (arrival.vm < ENTRY_VMS, "vm from 0 to 7"),
        (
            (1..=MAX_TOKENS).contains(&arrival.prompt_tokens),
            "prompt_tokens from 1 to 10000000",
        ),
        (
            (1..=MAX_TOKENS).contains(&arrival.output_tokens),
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
            arrival.cancel_us.is_none_or(|t| t <= MAX_TIME_US),
            "cancel_us up to 86400000000",
        ),
    ])?;
    trace.requests.push(Request {
        at,
        cell,
        workload,
        vm: arrival.vm,
        organisation: arrival.organisation,
        prefix: arrival.prefix,
        prompt_tokens: arrival.prompt_tokens,
        shared_tokens: 0,
        output_tokens: arrival.output_tokens,
        step_factor: arrival.step_factor,
        prefill_factor: arrival.prefill_factor,
        cancel_after: arrival.cancel_us.map(Duration::from_micros),
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
        VmDies => name == format!("vm-{OWNER_VM}"),
    };
    let duplicate = incident.kind == VmDies && listed.iter().any(|i| i.kind == VmDies);
    if !known {
        return Err(format!("{:?}: {} is unknown", incident.kind, quote(name)));
    }
    check_all(&[
        (
            incident.at.as_micros() <= MAX_TIME_US,
            "at_us up to 86400000000",
        ),
        (!duplicate, "at most one failure of the owner's VM"),
    ])?;
    listed.push(incident);
    Ok(())
}

/// Returns true if the cell has an engine of this name. Engines are named after the first service
/// of the cell and numbered.
fn has_engine(cell: &Cell, name: &str) -> bool {
    let count: usize = cell.engines.iter().map(|(_, n)| n).sum();
    (0..count).any(|i| format!("{}-{i}", cell.mix[0].name) == name)
}
