//! Limits of the platform's frontend: slots for clients, the budget of descriptors and memory that two processes share,
//! and the backoff of calls to discovery.

use molevale::config::Limits;
use molevale::dispatcher::queue;
use molevale::names::Names;
use molevale::platform::connection_slots::{eviction_order, ConnectionSlots, Slot};
use molevale::platform::endpoint_watch::backoff::{Backoff, PAUSE_MAX, PAUSE_MIN};
use molevale::platform::monitored_stream::{IdleState, MonitoredStream};
use molevale::platform::resource_budget::{
    ResourceBudget, DESCRIPTORS_MIN, FIXED_DESCRIPTORS, REJECTION_SLOTS,
};
use molevale::upgrade::{Held, Holder};
use std::collections::BTreeSet;
use std::sync::Arc;
use std::time::Duration;
use tokio::time::{timeout, Instant};

/// Protects true requests in a crowd: who says nothing goes before who writes, and of those that write the one that has
/// paused for longest.
#[tokio::test(start_paused = true)]
async fn connections_that_ask_for_nothing_are_evicted_before_those_that_write() {
    let now = Instant::now() + Duration::from_secs(9);
    let ago = |ms| now - Duration::from_millis(ms);
    let idle = |has_begun, is_answered, ms| IdleState { has_begun, is_answered, since: ago(ms) };
    let in_order = [
        idle(false, false, 2000),
        idle(false, false, 300),
        idle(false, true, 4000),
        idle(false, true, 0),
        idle(true, false, 1000),
        idle(true, true, 500),
        idle(true, false, 10),
        idle(false, false, 299),
        idle(false, false, 1),
    ];
    let order: Vec<_> = in_order.iter().map(|idle| eviction_order(idle, now)).collect();
    assert!(order.is_sorted(), "{order:?}");
}

/// So many slots at once, with a request at work at each.
async fn busy(slots: &Arc<ConnectionSlots>, n: usize) -> Vec<Slot> {
    let monitor = MonitoredStream::new(()).monitor();
    let mut all = Vec::new();
    for _ in 0..n {
        let slot = timeout(Duration::ZERO, slots.acquire(&monitor)).await.expect("a free slot");
        all.push(slot.expect("a free slot"));
    }
    all.iter().for_each(Slot::set_busy);
    all
}

/// Protects the limits while two processes are one node: together they never hold more than one may.
#[tokio::test(start_paused = true)]
async fn what_another_process_holds_is_not_allocated_until_it_is_released() {
    for (sockets, memory_mb) in [(128, 16), (256, 32), (1024, 192)] {
        let limits = Limits { sockets, memory_mb };
        let budget = |held| ResourceBudget::new(queue().0, limits, held, &Names::default(), Arc::default());
        let old = budget(Held::default());
        let all = old.allocation();
        let mut clients = busy(&old.client_slots, all.clients / 4).await;
        let bodies = old.body_memory_kib.try_acquire_many(all.bodies_kib as u32 / 2).unwrap();
        let held = old.held();
        let new = budget(held);
        let given = new.allocation();
        let set_aside = FIXED_DESCRIPTORS + REJECTION_SLOTS;
        let together = held.descriptors + set_aside + given.clients + given.workers;
        assert!(
            together <= sockets || given.clients + given.workers <= DESCRIPTORS_MIN,
            "{together} of {sockets}"
        );
        assert_eq!(held.bodies_kib + given.bodies_kib, all.bodies_kib);
        // Who waits for the last client to go takes nothing meanwhile.
        let mut last = std::pin::pin!(old.clients_closed());
        assert!(timeout(Duration::ZERO, last.as_mut()).await.is_err());
        drop(clients.pop());
        assert_eq!(old.held().descriptors, held.descriptors - 2, "its client and its attempt");
        drop((clients, bodies));
        assert!(timeout(Duration::ZERO, last.as_mut()).await.is_ok());
        new.update_peer_usage(old.held());
        let less = new.allocation();
        assert!(less.clients > given.clients && less.clients < all.clients, "it is still there");
        new.update_peer_usage(held); // nothing is taken away again
        new.update_peer_usage(Held::default());
        assert_eq!(new.allocation(), all);
        assert_eq!(new.client_slots.taken() + new.worker_connections(), 0);
        let _all = busy(&new.client_slots, all.clients).await;
        assert_eq!(
            (new.client_slots.taken(), new.body_memory_kib.available_permits()),
            (all.clients, all.bodies_kib)
        );
    }
}

/// Protects discovery while it is overbooked: together all nodes ask seldom, never in step, and less and less.
#[test]
fn pauses_grow_with_the_cluster_and_with_each_rejection() {
    let cluster = |n: u32| (0..u64::from(n)).map(move |seed| Backoff::new(n, true, seed));
    for n in [1, 4, 100, 300] {
        let calls: f64 = cluster(n).map(|mut backoff| 1.0 / backoff.rejected().as_secs_f64()).sum();
        assert!(calls < 150.0, "{n} nodes ask {calls} times a second");
    }
    let firsts: BTreeSet<_> = cluster(100).map(|mut backoff| backoff.rejected()).collect();
    assert!(firsts.len() > 90, "they are not in step");
    let mut backoff = Backoff::new(100, true, 7);
    let mut last = Duration::ZERO;
    for _ in 0..10 {
        last = backoff.rejected();
    }
    assert!(last >= PAUSE_MAX / 2 && last <= PAUSE_MAX);
    backoff.reset();
    assert!(backoff.rejected() <= PAUSE_MIN / 4 * 100, "an answer ends it");
}
