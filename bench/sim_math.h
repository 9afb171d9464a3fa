#ifndef BENCH_SIM_MATH_H
#define BENCH_SIM_MATH_H

/**
 * Natural logarithm in basic arithmetic only: bit-identical on every machine,
 * so that figures in virtual time are reproducible everywhere.
 * @param x greater than 0
 */
double sim_log(double x);

#endif
