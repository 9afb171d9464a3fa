#ifndef SAVORYFLOW_CLI_H
#define SAVORYFLOW_CLI_H

/** Exit codes of the command line; documented in README.md. */
enum cli_exit {
	kCliOk = 0,
	/** The daemon refused, or the job failed. */
	kCliRefused = 1,
	/** Bad usage: an unknown command, flag or value. */
	kCliUsage = 2,
	/** No daemon answered. */
	kCliUnreachable = 3,
};

/** Runs the command line. @return exit code */
int cli_run(int argc, char **argv);

#endif
