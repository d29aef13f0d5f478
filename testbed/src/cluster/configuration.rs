//! Configuration of a cluster's nodes: the membership file and the node's own file.

use super::{Cluster, CoordinationSpec, TENANTS};
use crate::wire;
use serde_json::{json, Value};
use std::time::Duration;

/// Number of seed nodes.
const SEED_NODES: usize = 3;
/// A voter's election timeout, in milliseconds.
const ELECTION_MS: u64 = 500;

impl Cluster {
    /// Returns the fleet file of a node: membership and coordination.
    pub(super) fn fleet_file(&self, i: usize) -> String {
        let seeds: Vec<String> = (0..self.spec.nodes.min(SEED_NODES))
            .map(|seed| format!("{:?}", self.advertise(seed).to_string()))
            .collect();
        let probe_ms = self.spec.probe_ms;
        let coordination = self.spec.coordination.as_ref().map(|spec| self.coordination_section(i, spec));
        format!(
            "fleet = \"testbed\"\nlisten = \"{}\"\nadvertise = \"{}\"\nzone = \"z{}\"\nkey_file = \"../fleet.key\"\n\
             seeds = [{}]\n[timing]\nprobe_ms = {probe_ms}\nanswer_ms = {}\nsuspicion_ms = {}\n\
             contact_ms = {probe_ms}\n{}",
            self.gossip_address(i),
            self.advertise(i),
            i % 2,
            seeds.join(", "),
            probe_ms * 2 / 5,
            probe_ms * 4,
            coordination.unwrap_or_default()
        )
    }

    fn coordination_section(&self, i: usize, spec: &CoordinationSpec) -> String {
        let voter = |v| format!("{{ name = \"{}\", at = \"{}\" }}", Cluster::name(v), self.advertise(v));
        let voters: Vec<String> = (0..spec.voters).map(voter).collect();
        let has_state_directory = i < spec.voters || self.nodes_with_state.contains(&i);
        let state = if has_state_directory { "state = \"state\"\n" } else { "" };
        let mut section = format!(
            "[duties]\n{state}voters = [{}]\nlease_ms = {}\nelection_ms = {ELECTION_MS}\nlists = {}\nroll = {}\n",
            voters.join(", "),
            spec.lease_ms,
            spec.list_broadcast,
            spec.rolling_restart
        );
        for (name, address, interval_ms) in &spec.scheduled_calls {
            section += &format!(
                "[[duties.errand]]\nname = \"{name}\"\nat = \"{address}\"\npath = \"/{name}\"\n\
                 every_ms = {interval_ms}\n"
            );
        }
        section
    }

    /// Returns the configuration of a node's next process.
    pub(super) fn config(&self, i: usize, name: &str) -> Value {
        json!({"name": name, "listen": self.listen(i).to_string(), "discovery": self.discovery.address.to_string(),
            "management": self.block.address(i, 9000 + self.starts).to_string(), "seed": format!("{:x}", i + 1),
            "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 1024},
            "known": {"revision": 0, "complete": true, "members": self.endpoint_entries()},
            "settings": self.settings(i)})
    }

    fn settings(&self, i: usize) -> Value {
        let mut settings = wire::settings(true, 250_000);
        let us = |span: Duration| span.as_micros() as u64;
        let profile = &self.spec.worker_profile;
        settings["Siblings"] = self.spec.nodes.into();
        settings["Ordinal"] = i.into();
        settings["Limits"]["Peers"] = self.spec.fleet.into();
        settings["Prices"] = json!({"Peer": 0.01});
        settings["OverShareWorth"] = 0.05.into();
        settings["Invariants"] = json!({"ColdShare": profile.cold_share, "WarmUpUs": us(profile.warm_up),
            "FallMultiple": profile.overload_multiple, "FallUs": us(profile.overload_window)});
        let tenant = |name: &&str| json!({"Name": name, "QuotaPerS": self.spec.quota, "Share": 0.5});
        settings["Parties"] = TENANTS.iter().map(tenant).collect();
        for (index, class) in [0, 1].into_iter().zip(crate::load::classes()) {
            settings["Profiles"][index]["AimUs"] = us(class.latency_objective).into();
            settings["Profiles"][index]["AimStretch"] = class.stretch.into();
            settings["Profiles"][index]["DeadlineUs"] = us(class.deadline).into();
        }
        settings
    }

    /// Returns the workers' entries of the endpoint list.
    pub(super) fn endpoint_entries(&self) -> Vec<Value> {
        let workers = self.workers.iter().enumerate().filter_map(|(n, worker)| Some((n, worker.as_ref()?)));
        workers
            .map(|(n, (worker, since_ms))| {
                wire::endpoint_entry(&format!("w{n:03}"), worker.address, "in_service", *since_ms)
            })
            .collect()
    }
}
