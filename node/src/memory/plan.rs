//! Division of the memory limit. Each holder has a bound: its number times the most that one can allocate. The sum of all
//! bounds, for both processes of an upgrade, and a reserve are within the limit.

use std::fmt;

/// Bytes in a KiB, and in a megabyte of the configuration.
const KIB: usize = 1024;
const MEGABYTE: usize = 1024 * KIB;
/// Number of processes of an upgrade.
const PROCESSES: usize = 2;
/// Memory of a process that serves nobody, with the connections of operators and those that are only rejected.
const PROCESS_BYTES: usize = 2 * MEGABYTE;
/// The limit divided by this is left for what the allocator cannot reuse.
const RESERVE_DIVISOR: usize = 8;

/// Most memory of one connection to a client or a worker: the read buffer, what is kept of a head, the write buffer and the
/// tasks, 16 KiB each.
pub const CONNECTION_BYTES: usize = 64 * KIB;
/// Most memory of an answer of a worker while it is read: a line of 64 KiB in a buffer that doubles.
pub const LARGE_ANSWER_BYTES: usize = 128 * KIB;
/// Most memory of a connection of the Faktory frontend: a line of 64 KiB in a buffer that doubles.
const FAKTORY_CONNECTION_BYTES: usize = 128 * KIB;
/// Most memory of a job's id in the Faktory frontend, apart from the payload: five copies of an id of 256 bytes, the
/// entries of the tables, and the end of the job's attempt in the dispatcher's queue.
const FAKTORY_ID_BYTES: usize = 2 * KIB;
/// Most memory of the id of an ended request: a digest and a time in a queue and a set, whose capacities double.
const RECENT_ID_BYTES: usize = 128;
/// Most memory of an event in the queue of a dispatcher.
pub const QUEUED_EVENT_BYTES: usize = 640;
/// Events of one connection that can be in the queue: a request, the departure of its client, the unread updates of its
/// attempt, and the attempt's end.
const QUEUED_EVENTS_OF_CONNECTION: usize = 4;
/// Most memory of a connection's events in the queue.
const QUEUED_BYTES_OF_CONNECTION: usize = QUEUED_EVENTS_OF_CONNECTION * QUEUED_EVENT_BYTES;
/// Memory of an endpoint list in use, as a multiple of the response that it came in: the response, the parsed list, the
/// latest list and the tables of workers.
const LIST_EXPANSION: usize = 4;

/// Percentages of a frontend's memory. Those of the platform frontend that each process of an upgrade uses for itself
/// count twice.
const CONNECTIONS_PERCENT: usize = 45;
const BODIES_PERCENT: usize = 15;
const ANSWERS_PERCENT_OF_EACH: usize = 5;
const LISTS_PERCENT_OF_EACH: usize = 12;
const RECENT_IDS_PERCENT_OF_EACH: usize = 2;
const FAKTORY_CONNECTIONS_PERCENT: usize = 50;
const FAKTORY_PAYLOADS_PERCENT: usize = 25;
const FAKTORY_IDS_PERCENT: usize = 25;

/// Bounds that hold even if the limit is too low for them: less would serve nobody.
const CONNECTIONS_MIN: usize = 12;
const BODIES_BYTES_MIN: usize = 256 * KIB;
const ANSWERS_BYTES_MIN: usize = 4 * LARGE_ANSWER_BYTES;
const LIST_RESPONSE_BYTES_MIN: usize = 256 * KIB;
const RECENT_IDS_MIN: usize = 256;
const FAKTORY_IDS_MIN: usize = 256;
/// Bounds that are enough however high the limit is.
const LIST_RESPONSE_BYTES_MAX: usize = 4 * MEGABYTE;
const FAKTORY_PAYLOAD_BYTES_MAX: usize = 32 * MEGABYTE;
const FAKTORY_IDS_MAX: usize = 20_000;

/// Frontends among which the memory is divided.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Frontends {
    /// Only that of the platform.
    Platform,
    /// Only that of Faktory.
    Faktory,
    /// Both, with half each.
    Both,
}

/// Bounds of all holders of memory.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct MemoryPlan {
    /// Frontends that run.
    pub frontends: Frontends,
    /// The limit of both processes together, in bytes.
    pub limit_bytes: usize,
    /// Largest number of connections to clients and workers, of both processes together.
    pub connections: usize,
    /// Events of these connections in the dispatchers' queues, in bytes, of both processes together.
    pub queued_bytes: usize,
    /// Request bodies of both processes together, in bytes.
    pub bodies_bytes: usize,
    /// Large answers of workers, in bytes, of each process.
    pub answers_bytes: usize,
    /// Longest response of discovery, in bytes.
    pub list_response_bytes: usize,
    /// Largest number of ids of ended requests, of each process.
    pub recent_ids: usize,
    /// Largest number of connections of the Faktory frontend.
    pub faktory_connections: usize,
    /// Events of these connections in the dispatcher's queue, in bytes.
    pub faktory_queued_bytes: usize,
    /// Payloads of open jobs of the Faktory frontend, in bytes.
    pub faktory_payload_bytes: usize,
    /// Largest number of ids of jobs of the Faktory frontend.
    pub faktory_job_ids: usize,
}

impl MemoryPlan {
    /// Divides a limit of this many megabytes.
    pub fn new(memory_mb: usize, frontends: Frontends) -> MemoryPlan {
        let limit_bytes = memory_mb * MEGABYTE;
        let fixed = PROCESSES * PROCESS_BYTES + limit_bytes / RESERVE_DIVISOR;
        let divided = limit_bytes.saturating_sub(fixed);
        let (platform, faktory) = match frontends {
            Frontends::Platform => (divided, 0),
            Frontends::Faktory => (0, divided),
            Frontends::Both => (divided / 2, divided / 2),
        };
        let of_platform = |percent: usize| platform / 100 * percent;
        let of_faktory = |percent: usize| faktory / 100 * percent;
        let connections = (of_platform(CONNECTIONS_PERCENT) / CONNECTION_BYTES).max(CONNECTIONS_MIN);
        let faktory_connection_bytes = FAKTORY_CONNECTION_BYTES + QUEUED_BYTES_OF_CONNECTION;
        let faktory_connections =
            (of_faktory(FAKTORY_CONNECTIONS_PERCENT) / faktory_connection_bytes).max(CONNECTIONS_MIN);
        MemoryPlan {
            frontends,
            limit_bytes,
            connections,
            queued_bytes: connections * QUEUED_BYTES_OF_CONNECTION,
            bodies_bytes: of_platform(BODIES_PERCENT).max(BODIES_BYTES_MIN),
            answers_bytes: of_platform(ANSWERS_PERCENT_OF_EACH).max(ANSWERS_BYTES_MIN),
            list_response_bytes: (of_platform(LISTS_PERCENT_OF_EACH) / LIST_EXPANSION)
                .clamp(LIST_RESPONSE_BYTES_MIN, LIST_RESPONSE_BYTES_MAX),
            recent_ids: (of_platform(RECENT_IDS_PERCENT_OF_EACH) / RECENT_ID_BYTES).max(RECENT_IDS_MIN),
            faktory_connections,
            faktory_queued_bytes: faktory_connections * QUEUED_BYTES_OF_CONNECTION,
            faktory_payload_bytes: of_faktory(FAKTORY_PAYLOADS_PERCENT)
                .clamp(BODIES_BYTES_MIN, FAKTORY_PAYLOAD_BYTES_MAX),
            faktory_job_ids: (of_faktory(FAKTORY_IDS_PERCENT) / FAKTORY_ID_BYTES)
                .clamp(FAKTORY_IDS_MIN, FAKTORY_IDS_MAX),
        }
    }

    /// Sum of the bounds of the frontends that run, for both processes of an upgrade, without the reserve.
    pub fn total_bytes(&self) -> usize {
        let of_each = self.answers_bytes
            + self.list_response_bytes * LIST_EXPANSION
            + self.recent_ids * RECENT_ID_BYTES;
        let platform =
            self.connections * CONNECTION_BYTES + self.queued_bytes + self.bodies_bytes + PROCESSES * of_each;
        let faktory = self.faktory_connections * FAKTORY_CONNECTION_BYTES
            + self.faktory_queued_bytes
            + self.faktory_payload_bytes
            + self.faktory_job_ids * FAKTORY_ID_BYTES;
        let held = match self.frontends {
            Frontends::Platform => platform,
            Frontends::Faktory => faktory,
            Frontends::Both => platform + faktory,
        };
        PROCESSES * PROCESS_BYTES + held
    }

    /// Logs the plan, with a warning if the limit is too low for the least that a node needs.
    pub fn log(&self) {
        let total_kib = self.total_bytes() / KIB;
        let limit_kib = self.limit_bytes / KIB;
        log::info!(event = "memory_planned", limit_kib, total_kib; "memory is divided as follows: {self}");
        if total_kib > limit_kib - limit_kib / RESERVE_DIVISOR {
            log::warn!(event = "memory_limit_low", limit_kib, total_kib;
                "the memory limit is lower than what the smallest node may need");
        }
    }

    /// Upper bound of what a process holds that has this many connections and this much memory in bodies.
    pub fn process_bound(&self, connections: usize, bodies_kib: usize) -> usize {
        let connection_bytes = CONNECTION_BYTES + QUEUED_BYTES_OF_CONNECTION;
        PROCESS_BYTES + connections * connection_bytes + bodies_kib * KIB + self.answers_bytes
    }
}

impl fmt::Display for MemoryPlan {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(
            f,
            "connections {}, queued events {} KiB, bodies {} KiB, answers {} KiB, list response {} KiB, recent ids {}, \
             Faktory connections {}, Faktory queued events {} KiB, Faktory payloads {} KiB, Faktory job ids {}",
            self.connections,
            self.queued_bytes / KIB,
            self.bodies_bytes / KIB,
            self.answers_bytes / KIB,
            self.list_response_bytes / KIB,
            self.recent_ids,
            self.faktory_connections,
            self.faktory_queued_bytes / KIB,
            self.faktory_payload_bytes / KIB,
            self.faktory_job_ids,
        )
    }
}
