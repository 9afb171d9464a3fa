#ifndef SAVORYFLOW_OS_CPU_H
#define SAVORYFLOW_OS_CPU_H

/**
 * Adds the calling thread's processor time since its last call to the control
 * processor time of the daemon. Called by threads that do control only.
 */
void cpu_account_control_thread(void);

#endif
