//! Scheduling of failures and returns in the simulation.

use std::time::Duration;

use coord::sched::Role;
use coord::time::Time;

use super::case::{Fault, Incident, IncidentKind};
use super::engine_calls::OWNER_VM;
use super::sim::{Event, FAILOVER_TIME, Sim};

impl Sim<'_> {
    pub(super) fn schedule_incident(&mut self, incident: &Incident) {
        use IncidentKind::{DataCentreDies, UpstreamDies, VmDies};
        let (at, name) = (incident.at, incident.name.as_str());
        if incident.kind == VmDies {
            self.schedule_at(at, Event::OwnerDies);
            self.schedule_at(at + FAILOVER_TIME, Event::NewOwner);
            return;
        }
        for engine in 0..self.engines.len() {
            let spec = &self.engines[engine].spec;
            let (upstream, centre) = (spec.name.as_str(), spec.data_centre.as_str());
            match incident.kind {
                UpstreamDies if upstream == name => self.schedule_at(at, Event::EngineDies(engine)),
                DataCentreDies if centre == name => self.schedule_at(at, Event::EngineDies(engine)),
                IncidentKind::UpstreamReturns if upstream == name => {
                    self.schedule_at(at, Event::EngineReturns(engine));
                }
                IncidentKind::DataCentreReturns if centre == name => {
                    self.schedule_at(at, Event::EngineReturns(engine));
                }
                _ => {}
            }
        }
    }

    /// Returns the incidents of the run: those that the trace lists, or else those that follow
    /// from the case's fault.
    pub fn incidents(&self) -> Vec<Incident> {
        use IncidentKind::{
            DataCentreDies, DataCentreReturns, UpstreamDies, UpstreamReturns, VmDies,
        };
        if let Some(listed) = &self.case.incidents {
            return listed.clone();
        }
        let at = Time::from_millis(self.case.seconds * 1_000 / 3);
        let incident = |at, kind, name: &str| Incident {
            at,
            kind,
            name: name.into(),
        };
        let pair = |dies, returns, name: &str| {
            let returns_at = at + Duration::from_secs(20);
            [
                incident(at, dies, name),
                incident(returns_at, returns, name),
            ]
        };
        let first = |role| self.engines.iter().find(|e| e.spec.role == role);
        match self.case.fault {
            Fault::UpstreamDies => [first(Role::Prefill), first(Role::Decode)]
                .into_iter()
                .flatten()
                .flat_map(|e| pair(UpstreamDies, UpstreamReturns, e.spec.name.as_str()))
                .collect(),
            Fault::DataCentreDies => {
                pair(DataCentreDies, DataCentreReturns, &self.case.centres[0]).into()
            }
            Fault::VmDies => vec![incident(at, VmDies, &format!("vm-{OWNER_VM}"))],
            _ => Vec::new(),
        }
    }
}
