#ifndef SAVORYFLOW_CLI_H
#define SAVORYFLOW_CLI_H

/** Exit codes of the command line; documented in README.md. */
enum cli_exit {
	kCliOk = 0,
	/** The daemon refused the request, or the document is invalid. */
	kCliRefused = 1,
	/** Bad usage: an unknown command, flag or value. */
	kCliUsage = 2,
	/** No daemon answered, or its answer broke off. */
	kCliUnreachable = 3,
};

struct adapter_ops;

/** An adapter that `serve --adapter=NAME` can select. */
struct cli_adapter {
	const char *name;
	const struct adapter_ops *ops;
};

/**
 * Runs the command line.
 * @param adapters ends with an entry without a name
 * @return exit code
 */
int cli_run(int argc, char **argv, const struct cli_adapter *adapters);

#endif
