/* Entry point. */
#include "cli/cli.h"
#include "dialect.h"

int
main(int argc, char **argv)
{
	static const struct cli_adapter adapters[] = {
	    {"platform", &platform_adapter},
	    {NULL, NULL},
	};

	return cli_run(argc, argv, adapters);
}
