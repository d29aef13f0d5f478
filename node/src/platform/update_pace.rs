//! Pace at which the updates of one response are read, so that a worker that sends without a pause takes no more than a
//! small part of the processor time. The worker waits meanwhile, as its connection is not read.

use std::time::Duration;
use tokio::time::{sleep, Instant};

/// Cost of reading a line beside its length, in bytes: parsing it and passing it to the dispatcher.
const LINE_COST_BYTES: usize = 256;
/// Cost that may be read at once: several of the longest lines, or some hundred short ones.
const BURST_BYTES: f64 = 256.0 * 1024.0;
/// Cost that may be read in the long run, in bytes a second: some hundred short lines.
const BYTES_PER_S: f64 = 256.0 * 1024.0;
/// Shortest pause, so that a response that is held back does not wake the process for each line.
const PAUSE_MIN: Duration = Duration::from_millis(20);

/// Cost of what was read from one response, which decreases with time.
#[derive(Debug)]
pub struct UpdatePace {
    cost: f64,
    counted_at: Instant,
}

impl Default for UpdatePace {
    fn default() -> Self {
        UpdatePace { cost: 0.0, counted_at: Instant::now() }
    }
}

impl UpdatePace {
    /// Counts a line of this length. Returns at once while the response is within its burst, else after a pause.
    pub async fn line_read(&mut self, length: usize) {
        self.cost += (length + LINE_COST_BYTES) as f64;
        if self.cost <= BURST_BYTES {
            return;
        }
        self.deduct_elapsed();
        if self.cost > BURST_BYTES {
            let pause = Duration::from_secs_f64((self.cost - BURST_BYTES) / BYTES_PER_S);
            sleep(pause.max(PAUSE_MIN)).await;
            self.deduct_elapsed();
        }
    }

    fn deduct_elapsed(&mut self) {
        let now = Instant::now();
        let elapsed = now.duration_since(self.counted_at).as_secs_f64();
        self.cost = (self.cost - elapsed * BYTES_PER_S).max(0.0);
        self.counted_at = now;
    }
}
