//! Recorded traces: JSON lines with a header, incidents and arrivals, without prompt contents.
//!
//! `docs/replay.md` describes every key.

mod read;

use std::fmt::Write as _;
use std::sync::Arc;

use coord::sched::{Class, Role};
use serde::{Deserialize, Serialize};

pub use self::read::parse;
use super::arrivals::Request;
use super::case::{Case, Cell, Fault, Incident, Workload};

/// Version of the trace format that is written and accepted.
const VERSION: u32 = 1;

/// One line of a trace, tagged with its type.
#[derive(Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
enum Line {
    Header(Header),
    Arrival(Arrival),
    Fault(Incident),
}

#[derive(Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
struct Header {
    version: u32,
    name: String,
    seed: u64,
    seconds: u64,
    warm_seconds: u64,
    condition: Fault,
    centres: Vec<Arc<str>>,
    link_bytes_per_s: f64,
    cells: Vec<CellSpec>,
}

#[derive(Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
struct CellSpec {
    engines: Vec<(Role, usize)>,
    services: Vec<ServiceSpec>,
    step_us: u64,
    prefill_rate: u32,
    link_rate: u64,
    block_tokens: u32,
    cache_blocks: usize,
}

#[derive(Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
struct ServiceSpec {
    name: Arc<str>,
    class: Class,
    ttft_us: u64,
    itl_us: u64,
    output_tokens: u32,
}

#[derive(Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
struct Arrival {
    at_us: u64,
    vm: u32,
    organisation: u64,
    service: Arc<str>,
    class: Class,
    prompt_tokens: u32,
    prefix: Vec<u64>,
    output_tokens: u32,
    step_factor: f64,
    prefill_factor: f64,
    #[serde(default, skip_serializing_if = "Option::is_none")]
    cancel_us: Option<u64>,
}

/// A trace in the form that the simulation runs.
#[derive(Debug)]
pub struct Trace {
    pub seed: u64,
    pub case: Case,
    pub requests: Vec<Request>,
}

/// Returns the text of a trace: the header, then the incidents, then the arrivals.
pub fn write(trace: &Trace, incidents: &[Incident]) -> serde_json::Result<String> {
    let mut lines = vec![Line::Header(header(trace))];
    let arrival = |r| Line::Arrival(arrival(&trace.case, r));
    lines.extend(incidents.iter().cloned().map(Line::Fault));
    lines.extend(trace.requests.iter().map(arrival));
    let mut text = String::new();
    for line in &lines {
        let _ = writeln!(text, "{}", serde_json::to_string(line)?);
    }
    Ok(text)
}

fn header(trace: &Trace) -> Header {
    let case = &trace.case;
    // Failures at a point in time are written as separate lines.
    let condition = match case.fault {
        Fault::StaleReports | Fault::LostEvents => case.fault,
        _ => Fault::None,
    };
    Header {
        version: VERSION,
        name: case.name.clone(),
        seed: trace.seed,
        seconds: case.seconds,
        warm_seconds: case.warm_seconds,
        condition,
        centres: case.centres.clone(),
        link_bytes_per_s: case.link_rate,
        cells: case.cells.iter().map(cell_spec).collect(),
    }
}

fn cell_spec(cell: &Cell) -> CellSpec {
    let service = |k: &Workload| ServiceSpec {
        name: k.name.clone(),
        class: k.class,
        ttft_us: k.ttft_target.as_micros() as u64,
        itl_us: k.itl_target.as_micros() as u64,
        output_tokens: k.output,
    };
    CellSpec {
        engines: cell.engines.clone(),
        services: cell.mix.iter().map(service).collect(),
        step_us: cell.options.decode_step.as_micros() as u64,
        prefill_rate: cell.options.prefill_rate,
        link_rate: cell.options.link_rate,
        block_tokens: cell.options.block_tokens,
        cache_blocks: cell.options.cache_blocks,
    }
}

fn arrival(case: &Case, request: &Request) -> Arrival {
    let workload = &case.cells[request.cell].mix[request.workload];
    Arrival {
        at_us: request.at.as_micros(),
        vm: request.vm,
        organisation: request.organisation,
        service: workload.name.clone(),
        class: workload.class,
        prompt_tokens: request.prompt_tokens,
        prefix: request.prefix.clone(),
        output_tokens: request.output_tokens,
        step_factor: request.step_factor,
        prefill_factor: request.prefill_factor,
        cancel_us: request.cancel_after.map(|d| d.as_micros() as u64),
    }
}

#[cfg(test)]
mod tests;
