#include "bench.h"
void
bench_policy(void)
{
}
