#ifndef SAVORYFLOW_OS_CPU_H
#define SAVORYFLOW_OS_CPU_H

/**
 * Adds to kMetControlCpuUs the CPU time that the calling thread has used since
 * its previous call. Only for threads that do nothing but control work.
 */
void cpu_account_control_thread(void);

#endif
