#ifndef SAVORYFLOW_OS_CPU_H
#define SAVORYFLOW_OS_CPU_H

/**
 * Adds the CPU time that the calling thread has used since its last call to
 * kMetControlCpuUs. To be called only by threads that do control work alone.
 */
void cpu_account_control_thread(void);

#endif
