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
 * Prints "figure NAME VALUE UNIT bound OP BOUND ok|RED". A red figure that
 * KNOWN-RED.txt does not name makes the bench fail.
 */
void bench_print_figure(const struct figure *fig);

/** True if a figure was red and not known. */
bool bench_has_failed(void);

/* Benches. */
void bench_policy(void);
void bench_membership(void);
void bench_decision(void);
int bench_load(int argc, char **argv);

/** "choose|grant SIZE ROUNDS": one decision so often, for counting. */
int bench_repeat_decision(int argc, char **argv);

#endif
