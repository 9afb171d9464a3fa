#ifndef BENCH_H
#define BENCH_H

#include <stdbool.h>
#include <stdint.h>

/** Comparison of a figure with its bound. */
enum bound_kind {
	kBoundNone,
	kBoundAtMost,
	kBoundAtLeast,
};

struct figure {
	const char *name;
	double value;
	const char *unit;
	enum bound_kind kind;
	double bound;
};

/**
 * Prints "figure NAME VALUE UNIT bound OP BOUND ok|RED". A figure outside its
 * bound that KNOWN-RED.txt does not list makes the run fail.
 */
void bench_print_figure(const struct figure *fig);

/** True if a figure was outside its bound and not listed in KNOWN-RED.txt. */
bool bench_has_failed(void);

/* Benchmarks: print their figures. */
void bench_policy(void);
void bench_membership(void);
void bench_decision(void);
void bench_uneven(void);
void bench_fair(void);

/** @param seeds plays of each scenario */
void bench_crash(int32_t seeds);
void bench_rate(int32_t seeds);
/** @param only name of the only scenario; NULL: all */
void bench_limits(int32_t seeds, const char *only);

/**
 * Load generator, see load.c.
 * @return exit code, 1 if a request failed
 */
int bench_load(int argc, char **argv);

/**
 * Command "one choose|grant SIZE ROUNDS": repeats one decision ROUNDS times, so
 * that its instructions can be counted.
 * @return exit code
 */
int bench_repeat_decision(int argc, char **argv);

#endif
