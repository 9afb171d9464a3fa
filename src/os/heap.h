#ifndef SAVORYFLOW_OS_HEAP_H
#define SAVORYFLOW_OS_HEAP_H

/**
 * Makes the allocator return large buffers to the system as soon as they are
 * freed, and limits the arenas that keep freed memory. To be called before
 * threads start.
 */
void heap_limit(void);

/** Returns freed memory to the system. */
void heap_trim(void);

#endif
