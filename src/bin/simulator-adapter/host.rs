//! Instances of the decision module, and their endpoint lists.

use super::decode::{self, code};
use super::encode;
use super::error::Error;
use super::frame::{Batch, Record, Reply};
use dispatch_policy::api::{Action, Endpoint, Event};
use dispatch_policy::settings::{self, ReportField};
use dispatch_policy::Policy;
use std::collections::BTreeMap;

/// A simulated dispatcher.
struct Instance {
    policy: Policy,
    /// Meanings of the values in its workers' load reports.
    report_fields: Vec<ReportField>,
}

/// Hosts all dispatchers of a simulation.
#[derive(Default)]
pub struct Host {
    instances: BTreeMap<u32, Instance>,
    lists: BTreeMap<u8, Vec<Endpoint>>,
    actions: Vec<Action>,
    reply: Reply,
}

impl Host {
    /// Handles the records of a batch in order and returns the reply.
    pub fn handle(&mut self, batch: &Batch) -> Result<&Reply, Error> {
        self.reply.clear();
        for record in batch.records() {
            self.handle_record(batch, record)?;
        }
        Ok(&self.reply)
    }

    fn handle_record(&mut self, batch: &Batch, record: Record) -> Result<(), Error> {
        let code = record.u8(0)?;
        if code == code::LIST {
            let entries = batch.entries(record.u32(2)?, record.u32(6)?)?;
            let list = entries.map(decode::endpoint).collect::<Result<_, _>>()?;
            self.lists.insert(record.u8(1)?, list);
            return Ok(());
        }
        let instance_id = record.u32(1)?;
        if code == code::INSTANCE_STARTED {
            let instance = start_instance(batch, record)?;
            self.instances.insert(instance_id, instance);
            return Ok(());
        }
        let unknown = Error::Unknown { what: "instance", number: u64::from(instance_id) };
        let instance = self.instances.get_mut(&instance_id).ok_or(unknown)?;
        if code == code::INSTANCE_STOPPED {
            self.instances.remove(&instance_id);
            return Ok(());
        }
        let event = if code == code::LIST_EVENT {
            Some(list_event(&self.lists, record)?)
        } else {
            decode::event(batch, record, &instance.report_fields)?
        };
        let Some(event) = event else { return Ok(()) };
        instance.policy.handle(batch.now_us, &event, &mut self.actions);
        for action in self.actions.drain(..) {
            encode::action(&mut self.reply, instance_id, &action);
        }
        Ok(())
    }
}

fn start_instance(batch: &Batch, record: Record) -> Result<Instance, Error> {
    let text = batch.tail(record.u32(13)?, record.u32(17)? as usize)?;
    let text = std::str::from_utf8(text).map_err(|_| Error::SettingsNotUtf8)?;
    let (settings, report_fields) = settings::parse(text).map_err(Error::Settings)?;
    let policy = Policy::new(settings, record.u64(5)?, batch.now_us).map_err(Error::InvalidSettings)?;
    Ok(Instance { policy, report_fields })
}

/// Decodes the event that gives an instance an endpoint list, or reports that fetching it failed.
fn list_event(lists: &BTreeMap<u8, Vec<Endpoint>>, record: Record) -> Result<Event, Error> {
    let list_id = record.u8(10)?;
    let unknown = Error::Unknown { what: "list", number: u64::from(list_id) };
    let list = || lists.get(&list_id).cloned().ok_or(unknown);
    Ok(match record.u8(9)? {
        0 => Event::EndpointChanges(list()?),
        1 | 2 => Event::EndpointList(list()?),
        3 => Event::EndpointWatchFailed,
        kind => return Err(Error::Unknown { what: "list event kind", number: u64::from(kind) }),
    })
}
