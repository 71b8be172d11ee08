//! The stand-ins of the demonstration.

use std::net::SocketAddr;
use std::time::Duration;

use standin::{
    Engine, EngineOptions, Plain, PlainOptions, Platform, PlatformOptions, Role, UpstreamEntry,
};

use super::report::Report;
use super::{DOCUMENT, ORGANISATION};
use crate::document::{Document, Upstreams};

/// How long the engines may take to free their memory after the last answer.
const FREE_TIME: Duration = Duration::from_secs(2);

/// Prefill and decode engines of each group, as in the first user's fleet.
const GROUPS: &[(&str, usize, usize)] = &[("logreader", 4, 5), ("airtime-desk", 1, 2)];

/// Data centres of the first user.
const DATA_CENTRES: &[&str] = &["boa-viagem", "suape", "olinda"];

/// One engine and its entry in the published list.
pub(super) struct Member {
    pub entry: UpstreamEntry,
    pub engine: Engine,
}

/// Everything that is not the router.
pub(super) struct Fleet {
    pub document: Document,
    pub platform: Platform,
    pub engines: Vec<Member>,
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
        for (group, prefill, decode) in GROUPS {
            let conf = &document.upstreams[&(*group).into()];
            for number in 0..prefill + decode {
                let role = if number < *prefill {
                    Role::Prefill
                } else {
                    Role::Decode
                };
                let engine = Engine::spawn(options(conf, role)).await?;
                let entry = engine_entry(group, number, role, engine.addr());
                platform.put_upstream(entry.clone());
                engines.push(Member { entry, engine });
            }
        }
        let plain = Plain::spawn(PlainOptions::default()).await?;
        let plain_entry = entry("top-up-1", "top-up", "plain", 0, plain.addr());
        platform.put_upstream(plain_entry.clone());
        Ok(Self {
            document,
            platform,
            engines,
            plain,
            plain_entry,
        })
    }

    pub(super) fn describe(&self, report: &Report) {
        let platform = self.platform.addr();
        report.line(&format!(
            "platform on {platform} with the document `{ORGANISATION}`"
        ));
        for (group, prefill, decode) in GROUPS {
            report.line(&format!(
                "{group}: {prefill} prefill and {decode} decode engines"
            ));
        }
        report.line("top-up: 1 plain service whose calls to /credit must not be repeated");
    }

    /// Returns the engine that generates the answer to `prompt` now.
    pub(super) fn decoding(&self, prompt: &str) -> Option<&Member> {
        let busy = |member: &&Member| {
            let runs = member.engine.runs_of_prompt(prompt);
            runs.decodes > 0 && member.engine.slots_used() > 0
        };
        self.engines.iter().find(busy)
    }

    /// Prints what every engine did for `prompt`.
    pub(super) fn hops(&self, report: &Report, prompt: &str) {
        for member in &self.engines {
            let runs = member.engine.runs_of_prompt(prompt);
            let name = &member.entry.name;
            let place = &member.entry.data_centre;
            if runs.prefills > 0 {
                let counts = member.engine.counts();
                let (tokens, prefills) = (counts.prefill_tokens, counts.prefills);
                report.line(&format!(
                    "  {name} ({place}) computed {tokens} prompt tokens in {prefills} prefills and \
                     sent the KV cache on"
                ));
            }
            if runs.decodes > 0 {
                let tokens = member.engine.counts().output_tokens;
                report.line(&format!(
                    "  {name} ({place}) generated {tokens} tokens of output"
                ));
            }
        }
    }

    /// Brings dead engines back, as the platform does.
    pub(super) async fn revive(&self) -> eyre::Result<()> {
        for member in &self.engines {
            member.engine.restart().await?;
        }
        Ok(())
    }

    /// Prints the counters over all engines.
    pub(super) async fn summarise(&self, report: &Report) {
        report.title("Afterwards");
        let held = || -> usize {
            let engines = self.engines.iter();
            engines.map(|member| member.engine.held_ids().len()).sum()
        };
        let until = tokio::time::Instant::now() + FREE_TIME;
        while held() > 0 && tokio::time::Instant::now() < until {
            tokio::time::sleep(Duration::from_millis(10)).await;
        }
        let counts = self.engines.iter().map(|member| member.engine.counts());
        let (tokens, wasted) = counts.fold((0, 0), |(tokens, wasted), counts| {
            (
                tokens + counts.prefill_tokens,
                wasted + counts.wasted_tokens,
            )
        });
        report.line(&format!(
            "{tokens} prompt tokens computed, {wasted} of them for nothing"
        ));
        report.line(&format!("{} requests still hold memory on engines", held()));
    }

    pub(super) async fn stop(&self) {
        for member in &self.engines {
            member.engine.stop().await;
        }
        self.plain.stop().await;
        self.platform.stop().await;
    }
}

fn options(conf: &Upstreams, role: Role) -> EngineOptions {
    EngineOptions {
        role,
        slots: conf.slots.0,
        step: conf.step.0,
        prefill_rate: conf.prefill_rate.0,
        prefill_ttl: conf.prefill_ttl.0,
        link_rate: conf.link_rate.0,
        token_bytes: conf.token_bytes.0,
        block_tokens: conf.block.0,
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
    entry(
        &format!("{group}-{}", number + 1),
        group,
        role,
        number,
        addr,
    )
}

fn entry(name: &str, group: &str, role: &str, number: usize, addr: SocketAddr) -> UpstreamEntry {
    UpstreamEntry {
        name: name.into(),
        service: group.into(),
        role: role.into(),
        data_centre: DATA_CENTRES[number % DATA_CENTRES.len()].into(),
        address: addr.to_string(),
        state: "live".into(),
    }
}
