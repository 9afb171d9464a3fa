#ifndef BENCH_SIM_MATH_H
#define BENCH_SIM_MATH_H

/**
 * Natural logarithm in plain arithmetic: the same bits on every machine, so
 * that a figure of virtual time is the same everywhere.
 * @param x greater than 0
 */
double sim_log(double x);

#endif
