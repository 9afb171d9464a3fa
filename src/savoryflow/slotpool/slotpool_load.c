/* Expected wait at a pool, from its load. */
#include "os/clock.h"
#include "savoryflow/slotpool/slotpool.h"

enum {
	/* Wait for targets to accept work again, if none does. */
	kNoTargetRetryUs = 500 * kUsPerMs,
};

int64_t
slotpool_wait_us(const struct slotpool_load *load)
{
	if (load->slots == 0)
		return kNoTargetRetryUs;
	if (load->online < load->slots && load->online_queued == 0)
		return 0;
	return (load->online_queued + 1) * load->hold_us / load->slots;
}
