//! What was learned of endpoints and reported only to the daemon that places the requests.

use std::collections;

use trefoildyke_decide::gateway;
use trefoildyke_types::id;

/// Collects what was learned until it is also reported to the daemons that would take over placing.
#[derive(Debug, Default)]
pub(super) struct Unreported {
    learned: collections::BTreeMap<id::EndpointName, gateway::Learned>,
}

impl Unreported {
    /// Adds what a report says of endpoints; returns the report for the daemons that would take over, with
    /// what was learned since the last full one.
    ///
    /// The returned report is of use only if `report` is full.
    pub(super) fn take(&mut self, report: &gateway::LoadReport) -> gateway::LoadReport {
        for load in &report.endpoints {
            if let Some(learned) = &load.learned {
                self.learned.entry(load.endpoint.clone()).or_default().add(learned);
            }
        }
        if !report.is_full {
            return gateway::LoadReport { endpoints: Vec::new(), ..report.clone() };
        }
        let mut learned = std::mem::take(&mut self.learned);
        let mut endpoints = report.endpoints.clone();
        for load in &mut endpoints {
            load.learned = learned.remove(&load.endpoint);
        }
        gateway::LoadReport { endpoints, ..report.clone() }
    }
}
