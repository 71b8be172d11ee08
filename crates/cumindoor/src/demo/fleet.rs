//! The stand-ins of the demonstration: engines, a plain service and a platform.

use std::net::SocketAddr;
use std::time::Duration;

use standin::{
    Engine, EngineOptions, Plain, PlainOptions, Platform, PlatformOptions, Role, UpstreamEntry,
};

use super::report::Report;
use super::{DOCUMENT, ORGANISATION};
use crate::document::{Document, Upstreams};

/// Time limit for the engines to release their memory after the last response.
const RELEASE_TIMEOUT: Duration = Duration::from_secs(2);

/// Numbers of prefill and decode engines in each group, as in the fleet of the `celeste` example.
const ENGINE_GROUPS: &[(&str, usize, usize)] = &[("logreader", 4, 5), ("airtime-desk", 1, 2)];

/// Data centres of the `celeste` example; the upstreams of each group are spread over them in turn.
const DATA_CENTRES: &[&str] = &["boa-viagem", "suape", "olinda"];

/// One engine and its entry in the published list of upstreams.
pub(super) struct FleetEngine {
    pub entry: UpstreamEntry,
    pub engine: Engine,
}

/// All systems outside the router.
pub(super) struct Fleet {
    pub document: Document,
    pub platform: Platform,
    pub engines: Vec<FleetEngine>,
    pub plain: Plain,
    pub plain_entry: UpstreamEntry,
}

impl Fleet {
    pub(super) async fn start() -> eyre::Result<Self> {
        let parsed = Document::parse("examples/celeste/celeste.ini", DOCUMENT);
        let document = parsed.map_err(|findings| eyre::eyre!("{}", findings[0]))?;
        let platform = Platform::spawn(PlatformOptions::default()).await?;
        platform.put_document(ORGANISATION, DOCUMENT)?;
        let mut engines = Vec::new();
        for (group, prefill, decode) in ENGINE_GROUPS {
            let group_settings = &document.upstreams[&(*group).into()];
            for number in 0..prefill + decode {
                let role = if number < *prefill {
                    Role::Prefill
                } else {
                    Role::Decode
                };
                let engine = Engine::spawn(engine_options(group_settings, role)).await?;
                let entry = engine_entry(group, number, role, engine.addr());
                platform.put_upstream(entry.clone());
                engines.push(FleetEngine { entry, engine });
            }
        }
        let plain = Plain::spawn(PlainOptions::default()).await?;
        let plain_entry = upstream_entry("top-up-1", "top-up", "plain", 0, plain.addr());
        platform.put_upstream(plain_entry.clone());
        Ok(Self {
            document,
            platform,
            engines,
            plain,
            plain_entry,
        })
    }

    pub(super) fn report_setup(&self, report: &Report) {
        let platform = self.platform.addr();
        report.timed_line(&format!(
            "platform on {platform} with the document `{ORGANISATION}`"
        ));
        for (group, prefill, decode) in ENGINE_GROUPS {
            report.timed_line(&format!(
                "{group}: {prefill} prefill and {decode} decode engines"
            ));
        }
        report.timed_line("top-up: 1 plain service whose calls to /credit must not be repeated");
    }

    /// Returns the engine that is currently decoding the response to `prompt`.
    pub(super) fn decoding_engine(&self, prompt: &str) -> Option<&FleetEngine> {
        let is_decoding = |member: &&FleetEngine| {
            let runs = member.engine.runs_of_prompt(prompt);
            runs.decodes > 0 && member.engine.slots_used() > 0
        };
        self.engines.iter().find(is_decoding)
    }

    /// Prints the work that each engine did for `prompt`.
    pub(super) fn report_runs(&self, report: &Report, prompt: &str) {
        for member in &self.engines {
            let runs = member.engine.runs_of_prompt(prompt);
            let name = &member.entry.name;
            let data_centre = &member.entry.data_centre;
            if runs.prefills > 0 {
                let counts = member.engine.counts();
                let (tokens, prefills) = (counts.prefill_tokens, counts.prefills);
                report.timed_line(&format!(
                    "  {name} ({data_centre}) computed {tokens} prompt tokens in {prefills} prefills and \
                     sent the KV cache on"
                ));
            }
            if runs.decodes > 0 {
                let tokens = member.engine.counts().output_tokens;
                report.timed_line(&format!(
                    "  {name} ({data_centre}) generated {tokens} tokens of output"
                ));
            }
        }
    }

    /// Restarts crashed engines, as a platform would.
    pub(super) async fn restart_engines(&self) -> eyre::Result<()> {
        for member in &self.engines {
            member.engine.restart().await?;
        }
        Ok(())
    }

    /// Waits until the engines have released their memory and prints their total counts.
    pub(super) async fn report_totals(&self, report: &Report) {
        report.title("Afterwards");
        let count_held_requests = || -> usize {
            let engines = self.engines.iter();
            engines.map(|member| member.engine.held_ids().len()).sum()
        };
        let deadline = tokio::time::Instant::now() + RELEASE_TIMEOUT;
        while count_held_requests() > 0 && tokio::time::Instant::now() < deadline {
            tokio::time::sleep(Duration::from_millis(10)).await;
        }
        let counts = self.engines.iter().map(|member| member.engine.counts());
        let (tokens, wasted) = counts.fold((0, 0), |(tokens, wasted), counts| {
            (
                tokens + counts.prefill_tokens,
                wasted + counts.wasted_tokens,
            )
        });
        report.timed_line(&format!(
            "{tokens} prompt tokens computed, {wasted} of them for nothing"
        ));
        report.timed_line(&format!(
            "{} requests still hold memory on engines",
            count_held_requests()
        ));
    }

    pub(super) async fn stop(&self) {
        for member in &self.engines {
            member.engine.stop().await;
        }
        self.plain.stop().await;
        self.platform.stop().await;
    }
}

fn engine_options(group_settings: &Upstreams, role: Role) -> EngineOptions {
    EngineOptions {
        role,
        slots: group_settings.slots.0,
        step: group_settings.step.0,
        prefill_rate: group_settings.prefill_rate.0,
        prefill_ttl: group_settings.prefill_ttl.0,
        link_rate: group_settings.link_rate.0,
        token_bytes: group_settings.token_bytes.0,
        block_tokens: group_settings.block.0,
        load_lag: Duration::from_millis(200),
        ..EngineOptions::default()
    }
}

fn engine_entry(group: &str, number: usize, role: Role, addr: SocketAddr) -> UpstreamEntry {
    let role = match role {
        Role::Prefill => "prefill",
        Role::Decode => "decode",
        Role::Both => "both",
    };
    upstream_entry(
        &format!("{group}-{}", number + 1),
        group,
        role,
        number,
        addr,
    )
}

fn upstream_entry(
    name: &str,
    group: &str,
    role: &str,
    number: usize,
    addr: SocketAddr,
) -> UpstreamEntry {
    UpstreamEntry {
        name: name.into(),
        service: group.into(),
        role: role.into(),
        data_centre: DATA_CENTRES[number % DATA_CENTRES.len()].into(),
        address: addr.to_string(),
        state: "live".into(),
    }
}
