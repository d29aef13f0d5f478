//! Dispatcher: one task that owns the decision module, the clock, the timers and the table of requests.
//!
//! Front ends reach it through a queue only: events come in by a [`Handle`], decisions go out through a [`Frontend`]. It
//! knows no wire. A request is submitted, sent to workers in one attempt after another, and answered once:
//! [`Handle::submit`], [`Frontend::send`], [`Handle::ended`], [`Frontend::answer`].

mod actions;
mod clock;
mod frontend;
mod queue;
mod request_table;
mod requests;
mod timers;

pub use clock::Clock;
pub use frontend::{Answer, AttemptId, AttemptStart, Frontend};
pub use queue::{queue, Handle, Inbox};

use crate::counters::Counters;
use dispatch_policy::api::{Event, InvalidSettings, Settings};
use dispatch_policy::Policy;
use queue::DispatcherEvent;
use request_table::RequestTable;
use std::collections::VecDeque;
use std::sync::Arc;
use timers::{Timer, Timers};

/// Number of a named thing, such as a worker: the same at every node.
pub fn stable_hash(name: &str) -> u64 {
    membership::name_hash(name)
}

/// The dispatcher with its front end.
pub struct Dispatcher<F: Frontend> {
    policy: Policy,
    settings: Settings,
    frontend: F,
    clock: Clock,
    timers: Timers,
    requests: RequestTable<F>,
    /// Events that the decision module has yet to hear.
    events: VecDeque<Event>,
    counters: Arc<Counters>,
    /// Overdrafts of the decision module that are counted already.
    overdrafts: u64,
}

impl<F: Frontend> Dispatcher<F> {
    /// Creates a dispatcher that knows its settings and no worker yet.
    ///
    /// # Errors
    /// If the decision module does not take the settings.
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
            events: VecDeque::new(),
            counters,
            overdrafts: 0,
        })
    }

    /// Runs until every handle is dropped.
    pub async fn run(mut self, mut inbox: Inbox<F::Job>) {
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
                () = self.timers.due() => {}
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
            DispatcherEvent::Submitted(request, job) => self.submit(request, job),
            DispatcherEvent::Adopted(request, job, sent) => self.adopt(request, job, sent),
            DispatcherEvent::ClientLeft(id) => self.client_left(id),
            DispatcherEvent::Acknowledged(tag) if self.requests.is_in_flight(tag) => {
                self.counters.acknowledged.add();
                self.notify_policy(Event::Acknowledged { id: tag.request, attempt: tag.attempt });
            }
            DispatcherEvent::Started(tag) if self.requests.is_in_flight(tag) => self.attempt_started(tag),
            DispatcherEvent::Progress(tag, done) if self.requests.is_in_flight(tag) => {
                self.notify_policy(Event::Progress { id: tag.request, attempt: tag.attempt, done });
            }
            // Of an attempt that has ended.
            DispatcherEvent::Acknowledged(_)
            | DispatcherEvent::Started(_)
            | DispatcherEvent::Progress(..) => {}
            DispatcherEvent::Ended(end) => self.attempt_ended(end),
            DispatcherEvent::Endpoints { entries, full: true } => {
                self.notify_policy(Event::EndpointList(entries));
            }
            DispatcherEvent::Endpoints { entries, full: false } => {
                self.notify_policy(Event::EndpointChanges(entries));
            }
            DispatcherEvent::EndpointListFailed => self.notify_policy(Event::EndpointWatchFailed),
            DispatcherEvent::Settings { settings, continues } => {
                self.settings = (*settings).clone();
                self.notify_policy(Event::SettingsChanged { settings, inherits_from: continues });
            }
            DispatcherEvent::PeerRates(from, bytes) => {
                self.notify_policy(Event::PeerMessage { from, bytes });
            }
            DispatcherEvent::ProbeEnded(worker, ok, report) => {
                self.notify_policy(Event::ProbeEnded { worker, responded: ok, report });
            }
            DispatcherEvent::FreezeTransferable(reply) => {
                self.freeze_transferable();
                let _ = reply.send(()); // fails where nobody waits any more
            }
            DispatcherEvent::Transferred(tag) => self.transferred(tag),
        }
    }
}
