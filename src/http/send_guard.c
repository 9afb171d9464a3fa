/* Counts the sendings of a request by libcurl. */
#include "http/send_guard.h"

int
send_guard_on_request(struct send_guard *sg)
{
	if (sg->is_sent_once && sg->sendings > 0)
		return CURL_PREREQFUNC_ABORT;
	sg->sendings++;
	return CURL_PREREQFUNC_OK;
}

static int
before_request(
    /* NOLINTNEXTLINE(readability-non-const-parameter): libcurl's prototype */
    void *ctx, char *remote_ip, char *local_ip, int remote_port, int local_port)
{
	return send_guard_on_request(ctx);
}

void
send_guard_attach(CURL *easy, struct send_guard *sg)
{
	curl_easy_setopt(easy, CURLOPT_PREREQFUNCTION, before_request);
	curl_easy_setopt(easy, CURLOPT_PREREQDATA, sg);
}

bool
send_guard_is_unsent(const struct send_guard *sg)
{
	return sg->sendings == 0;
}

bool
send_guard_is_resent(const struct send_guard *sg)
{
	return sg->sendings > 1;
}
