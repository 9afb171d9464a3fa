#include "bench.h"
void
bench_membership(void)
{
}
