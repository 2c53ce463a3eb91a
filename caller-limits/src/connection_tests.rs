//! Connections whose heads don't end.

use std::time::{Duration, Instant};

use crate::connection_table::ConnectionTable;
use crate::memory_pool::MemoryPool;

const KB: usize = 1024;
/// Time after which a caller that sends nothing has stalled.
const STALL_TIME: Duration = Duration::from_millis(2_100);

/// Guards against heads that stop short and keep the memory until their time-out.
#[test]
fn a_head_that_stops_short_gives_its_memory_back() {
    let pool = MemoryPool::new(200 * KB);
    let table = ConnectionTable::new(2, Some(pool.clone()));
    let [stopped, other] = [(); 2].map(|()| table.admit_without_place(Instant::now()));
    assert!(stopped.connection.record_read(40 * KB));
    assert_eq!(pool.usage().request_bytes, 80 * KB);
    std::thread::sleep(STALL_TIME);
    // There is no room for this head, so that the stalled one is closed.
    assert!(!other.connection.record_read(50 * KB));
    assert!(stopped.connection.abort_handle().is_aborted());
    assert!(!other.connection.abort_handle().is_aborted());
    stopped.connection.begin_body();
    assert_eq!(pool.usage().request_bytes, 0);
    assert!(other.connection.record_read(0));
}
