/* The allocator of the C library in processes with little memory. */
#include "os/heap.h"

#include <malloc.h>

enum {
	/* One arena for the event loop, one for the other threads. */
	kArenasMax = 2,
	/* The default, but fixed: otherwise it rises with each large buffer
	 * that is freed, and such buffers stay resident. */
	kMmapThresholdBytes = 128 * 1024,
};

void
heap_limit(void)
{
	mallopt(M_ARENA_MAX, kArenasMax);
	mallopt(M_MMAP_THRESHOLD, kMmapThresholdBytes);
	mallopt(M_TRIM_THRESHOLD, kMmapThresholdBytes);
}

void
heap_trim(void)
{
	malloc_trim(0);
}
