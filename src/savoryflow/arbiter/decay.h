#ifndef SAVORYFLOW_DECAY_H
#define SAVORYFLOW_DECAY_H

/**
 * Exponential decay exp(-x) in plain arithmetic, so that it gives the same
 * bits on every machine.
 * @param x passed time over the time constant, 0 or more
 * @return 1 down to 0; off by less than 0.5% up to x = 3
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
