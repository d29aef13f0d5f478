//! Dispatcher: a task that owns the decision module, the clock, the timers and the table of requests.
//!
//! It is independent of protocols: frontends send it events through the queue of a [`Handle`], and it calls a
//! [`Frontend`] to execute its decisions. A request is submitted ([`Handle::submit`]), sent to workers in one
//! attempt after another ([`Frontend::send`], [`Handle::ended`]), and answered once ([`Frontend::answer`]).

mod actions;
mod attempt_updates;
mod clock;
mod deadline_limit;
mod frontend;
mod queue;
mod request_table;
mod requests;
mod timers;

pub use clock::Clock;
pub use frontend::{Answer, AttemptId, AttemptStart, Frontend};
pub use queue::{queue, Handle, Inbox};

use crate::counters::Counters;
use deadline_limit::DeadlineLimit;
use dispatch_policy::api::{Event, InvalidSettings, Settings};
use dispatch_policy::Policy;
use queue::DispatcherEvent;
use request_table::RequestTable;
use std::collections::VecDeque;
use std::sync::Arc;
use timers::{Timer, Timers};
use tokio::task::unconstrained;

/// Hash of a name, such as a worker's, that is the same at every node.
pub fn stable_hash(name: &str) -> u64 {
    membership::name_hash(name)
}

/// The dispatcher with its frontend.
pub struct Dispatcher<F: Frontend> {
    policy: Policy,
    settings: Settings,
    frontend: F,
    clock: Clock,
    timers: Timers,
    requests: RequestTable<F>,
    /// Limit of deadlines in a process that is to end.
    deadline_limit: Option<DeadlineLimit>,
    /// Events not yet passed to the decision module.
    events: VecDeque<Event>,
    counters: Arc<Counters>,
    /// Violations of slow-start budgets that are counted already.
    counted_slow_start_violations: u64,
}

impl<F: Frontend> Dispatcher<F> {
    /// Creates a dispatcher without endpoints.
    ///
    /// # Errors
    /// If the decision module rejects the settings.
    pub fn new(
        settings: Settings,
        seed: u64,
        frontend: F,
        counters: Arc<Counters>,
    ) -> Result<Self, InvalidSettings> {
        let clock = Clock::start();
        let policy = Policy::new(settings.clone(), seed, clock.now())?;
        Ok(Dispatcher {
            policy,
            settings,
            frontend,
            clock,
            timers: Timers::default(),
            requests: RequestTable::default(),
            deadline_limit: None,
            events: VecDeque::new(),
            counters,
            counted_slow_start_violations: 0,
        })
    }

    /// Runs until every handle is dropped. Handles all events that are in the queue each time it runs: a task that yields
    /// after a fixed number of events would fall behind the tasks that send them.
    pub async fn run(self, inbox: Inbox<F::Job>) {
        unconstrained(self.handle_events(inbox)).await;
    }

    async fn handle_events(mut self, mut inbox: Inbox<F::Job>) {
        loop {
            // Before each event, so that a full queue cannot starve the timers.
            self.fire_due_timers();
            self.counters.open_requests.set(self.requests.len());
            self.counters.timers.set(self.timers.len());
            tokio::select! {
                event = inbox.next() => match event {
                    Some(event) => self.handle_event(event),
                    None => return,
                },
                () = self.timers.wait_until_due() => {}
            }
        }
    }

    fn fire_due_timers(&mut self) {
        while let Some(timer) = self.timers.pop_due() {
            match timer {
                Timer::Policy => self.notify_policy(Event::TimerExpired),
                Timer::Deadline(id) => self.deadline_reached(id),
            }
        }
    }

    fn handle_event(&mut self, event: DispatcherEvent<F::Job>) {
        match event {
            DispatcherEvent::Submitted(request, job, at) => self.submit(request, job, at),
            DispatcherEvent::Adopted(request, job, sent) => self.adopt(request, job, sent),
            DispatcherEvent::ClientLeft(id) => self.client_left(id),
            DispatcherEvent::Updated(attempt_id, updates) => self.attempt_updated(attempt_id, updates),
            DispatcherEvent::Ended(end) => self.attempt_ended(end),
            DispatcherEvent::Endpoints { entries, full } => {
                let event = if full { Event::EndpointList(entries) } else { Event::EndpointChanges(entries) };
                self.notify_policy(event);
            }
            DispatcherEvent::EndpointListFailed => self.notify_policy(Event::EndpointWatchFailed),
            DispatcherEvent::Settings { settings, inherits_from } => {
                self.settings = (*settings).clone();
                self.notify_policy(Event::SettingsChanged { settings, inherits_from });
            }
            DispatcherEvent::PeerRates(from, bytes) => {
                self.notify_policy(Event::PeerMessage { from, bytes });
            }
            DispatcherEvent::ProbeEnded(worker, responded, report) => {
                self.notify_policy(Event::ProbeEnded { worker, responded, report });
            }
            DispatcherEvent::LimitDeadlines(limit) => self.limit_deadlines(limit),
            DispatcherEvent::ListTransferable(reply) => {
                let _ = reply.send(self.transferable()); // fails if the caller no longer waits
            }
            DispatcherEvent::FreezeForTransfer { attempt_id, done } => {
                self.freeze_for_transfer(attempt_id);
                let _ = done.send(()); // fails if the caller no longer waits
            }
            DispatcherEvent::Transferred(attempt_id) => self.transferred(attempt_id),
        }
    }
}
