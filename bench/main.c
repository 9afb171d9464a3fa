/* Benchmarks. */
#include <stdio.h>

int
main(int argc, char **argv)
{
	return 0;
}
