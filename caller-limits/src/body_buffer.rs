//! Buffer of a body that grows without being copied, and whose memory the system gets back at once.

use bytes::Bytes;
use memmap2::MmapMut;

/// Size beyond which a body is mapped. A mapping occupies memory only where it was written, and the
/// heap would keep the gaps between large bodies.
const MAX_HEAP_BYTES: usize = 64 * 1024;
/// Steps in which small and mapped buffers grow.
const HEAP_GROWTH_BYTES: usize = 16 * 1024;
const MAP_GROWTH_BYTES: usize = 64 * 1024;

#[derive(Debug)]
enum BufferMemory {
    Heap(Vec<u8>),
    Mapped(MmapMut),
}

/// A body of known maximum length that is being received.
#[derive(Debug)]
pub(crate) struct BodyBuffer {
    memory: BufferMemory,
    length: usize,
    /// Bytes that may be occupied.
    capacity: usize,
    max_bytes: usize,
}

impl BodyBuffer {
    pub fn new(max_bytes: usize) -> Self {
        Self {
            memory: BufferMemory::Heap(Vec::new()),
            length: 0,
            capacity: 0,
            max_bytes,
        }
    }

    pub fn len(&self) -> usize {
        self.length
    }

    /// Returns by how much the capacity has to grow before this many bytes are added.
    pub fn missing_capacity(&self, added_bytes: usize) -> usize {
        let needed = self.length + added_bytes;
        if needed <= self.capacity {
            return 0;
        }
        let step = if needed <= MAX_HEAP_BYTES {
            HEAP_GROWTH_BYTES
        } else {
            MAP_GROWTH_BYTES
        };
        let grown = needed.next_multiple_of(step).min(self.max_bytes);
        grown.max(needed) - self.capacity
    }

    /// Grows the capacity. Fails if the system has no memory left.
    pub fn grow(&mut self, more_bytes: usize) -> std::io::Result<()> {
        self.capacity += more_bytes;
        let BufferMemory::Heap(heap) = &mut self.memory else {
            return Ok(());
        };
        if self.capacity <= MAX_HEAP_BYTES {
            heap.reserve_exact(self.capacity - heap.len());
            return Ok(());
        }
        let mut map = MmapMut::map_anon(self.max_bytes)?;
        map[..heap.len()].copy_from_slice(heap);
        self.memory = BufferMemory::Mapped(map);
        Ok(())
    }

    /// Adds bytes for which there is capacity.
    pub fn extend(&mut self, bytes: &[u8]) {
        let end = self.length + bytes.len();
        match &mut self.memory {
            BufferMemory::Heap(heap) => heap.extend_from_slice(bytes),
            BufferMemory::Mapped(map) => map[self.length..end].copy_from_slice(bytes),
        }
        self.length = end;
    }

    /// Returns what was received.
    pub fn into_bytes(self) -> Bytes {
        match self.memory {
            BufferMemory::Heap(heap) => heap.into(),
            BufferMemory::Mapped(map) => Bytes::from_owner(map).slice(..self.length),
        }
    }
}
