#include "bench.h"
void
bench_decision(void)
{
}
