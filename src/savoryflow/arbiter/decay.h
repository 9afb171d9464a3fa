#ifndef SAVORYFLOW_DECAY_H
#define SAVORYFLOW_DECAY_H

/**
 * Approximates exp(-x) with basic arithmetic only, so that the result is
 * bit-identical on every machine.
 * @param x elapsed time divided by the time constant, 0 or more
 * @return 1 down to 0; the error is below 0.5% up to x = 3
 */
static inline double
decay(double x)
{
	double y = 1 - x / 1024;

	if (x <= 0)
		return 1;
	if (y <= 0)
		return 0;
	/* (1 - x/1024) to the 1024th power. */
	for (int i = 0; i < 10; i++)
		y *= y;
	return y;
}

#endif
