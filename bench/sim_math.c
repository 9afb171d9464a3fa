/* Functions whose results do not depend on the machine's math library. */
#include "sim_math.h"

#include <math.h>

double
sim_log(double x)
{
	const double ln2 = 0.69314718055994530942;
	int exponent;
	double m = frexp(x, &exponent);
	double t = (m - 1) / (m + 1);
	double square = t * t;
	double power = t;
	double sum = 0;

	/* log m = 2 atanh t, |t| <= 1/3. */
	for (int k = 1; k < 40; k += 2) {
		sum += power / k;
		power *= square;
	}
	return 2 * sum + exponent * ln2;
}
